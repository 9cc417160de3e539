package firstage.server.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Table groups that are found in single statements. */
class StatementTablesTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "17 | SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP"
                        + " BY day",
                "17 | select * from Sales_17 . orders",
                "3  | INSERT INTO sales_3.t SELECT * FROM staging.rows_9",
                "5  | COPY sales_5.t FROM staging.x",
                "8  | UPDATE sales_8.t SET a = 'sales_9.t'",
                "8  | DELETE FROM sales_8.t",
                "12 | SELECT 'it''s from a_1.b' FROM \"sales_12\".\"orders\"",
                "12 | SELECT \"from x_1.y\" FROM sales_12.orders",
                "4  | -- from a_1.b\\nSELECT 1 /* from a_2.b */ FROM a_4.b",
                "4  | SELECT t_9.x FROM a_4.b AS t_9 WHERE t_9.y = 1",
                "4  | SELECT t_9.x, t_9.z FROM a_4.b t_9 JOIN staging.s u_1 ON u_1.k = t_9.k",
                "6  | SELECT * FROM staging.s s_2, a_6.b",
                "6  | SELECT * FROM (SELECT x_1.q FROM a_6.b x_1) y_2 WHERE y_2.q > 1",
                "-1 | SELECT 1 FROM staging.rows_9",
                "-1 | SELECT 1",
                "-1 | SELECT 'FROM a_1.b'",
                "-1 | SELECT 1 FROM sales.orders_17",
                "-1 | SELECT 1.5 FROM sales_x.t",
                "-1 | ",
                "6  | SELECT x FROM (SELECT 1 FROM staging.s) y_2, a_6.b",
                "6  | SELECT EXTRACT(DAY FROM o_9.day), TRIM(BOTH FROM o_9.t) FROM a_6.b o_9",
                "6  | SELECT o_9.a IS DISTINCT FROM o_9.b FROM a_6.b o_9",
                "7  | SELECT 'unended FROM a_1.b' FROM a_7.b -- it's",
            })
    void tableGroup_statement_isSchemaNumber(int group, String statement) {
        String text = statement == null ? "" : statement.replace("\\n", "\n");
        assertThat(StatementTables.tableGroup(text.getBytes(StandardCharsets.UTF_8)))
                .isEqualTo(group);
    }
}
