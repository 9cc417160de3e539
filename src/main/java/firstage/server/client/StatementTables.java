package firstage.server.client;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Set;

/**
 * Finds the table group that a statement reads or writes: the number after the underscore in the
 * name of the schema (17 in {@code sales_17.orders}). Ignores strings, comments and schemas without
 * a number, such as {@code staging}. A qualified name in a list of tables takes precedence over one
 * elsewhere, whose first part may be the alias of a table.
 */
final class StatementTables {
    private static final Set<String> TABLE_LIST_OPENERS =
            Set.of("from", "join", "into", "update", "table", "using", "copy");
    private static final Set<String> TABLE_LIST_CLOSERS =
            Set.of(
                    "select", "where", "on", "group", "order", "having", "set", "values", "limit",
                    "union");
    private final String text;
    private int position;

    /**
     * Current token: a name as written but without quotes, a single character, {@code 0} for any
     * number or a quote for any string; null at the end.
     */
    private String token;

    private boolean tokenIsName;

    private StatementTables(byte[] bytes) {
        text = new String(bytes, StandardCharsets.UTF_8);
    }

    /** Returns the table group, or -1 if the statement names none. */
    static int tableGroup(byte[] bytes) {
        return new StatementTables(bytes).findTableGroup();
    }

    private int findTableGroup() {
        // A list of tables begins after FROM and similar keywords, in the statement or in a query
        // in parentheses, but not in EXTRACT(DAY FROM x) or IS DISTINCT FROM x.
        boolean inTableList = false;
        boolean inQuery = true;
        // Values of inTableList and inQuery before each parenthesis that is open.
        Deque<boolean[]> enclosing = new ArrayDeque<>();
        String previousWord = "";
        int groupOutsideTableList = -1;
        nextToken();
        while (token != null) {
            String word = token;
            boolean isName = tokenIsName;
            nextToken();
            if (isName && ".".equals(token)) {
                int group = groupNumber(word);
                nextToken();
                if (tokenIsName) {
                    nextToken();
                }
                if (group >= 0 && inTableList) {
                    return group;
                }
                groupOutsideTableList = groupOutsideTableList < 0 ? group : groupOutsideTableList;
            } else if (isName) {
                inQuery |= word.equalsIgnoreCase("select");
                boolean opensTableList =
                        TABLE_LIST_OPENERS.contains(word.toLowerCase(Locale.ROOT))
                                && inQuery
                                && !previousWord.equalsIgnoreCase("distinct");
                inTableList =
                        opensTableList
                                || inTableList
                                        && !TABLE_LIST_CLOSERS.contains(
                                                word.toLowerCase(Locale.ROOT));
            } else if (word.equals("(")) {
                enclosing.push(new boolean[] {inTableList, inQuery});
                inQuery = false;
            } else if (word.equals(")") && !enclosing.isEmpty()) {
                inTableList = enclosing.peek()[0];
                inQuery = enclosing.pop()[1];
            } else {
                inTableList &= word.equals(",");
            }
            previousWord = word;
        }
        return groupOutsideTableList;
    }

    /** Returns the number after the last underscore of a schema's name, or -1 without one. */
    private static int groupNumber(String schema) {
        int underscore = schema.lastIndexOf('_');
        if (underscore < 1
                || underscore + 1 == schema.length()
                || schema.length() - underscore > 10) {
            return -1;
        }
        for (int i = underscore + 1; i < schema.length(); i++) {
            if (schema.charAt(i) < '0' || schema.charAt(i) > '9') {
                return -1;
            }
        }
        return Integer.parseInt(schema.substring(underscore + 1));
    }

    private void nextToken() {
        skipSpaceAndComments();
        tokenIsName = false;
        if (position >= text.length()) {
            token = null;
            return;
        }
        char character = text.charAt(position);
        if (character == '"' || character == '`') {
            token = readQuoted(character);
            tokenIsName = true;
        } else if (character == '\'') {
            readQuoted(character);
            token = "'";
        } else if (Character.isUnicodeIdentifierStart(character) || character == '_') {
            int start = position;
            while (position < text.length() && isIdentifierPart(text.charAt(position))) {
                position++;
            }
            token = text.substring(start, position);
            tokenIsName = true;
        } else if (character >= '0' && character <= '9') {
            while (position < text.length() && Character.isLetterOrDigit(text.charAt(position))) {
                position++;
            }
            token = "0";
        } else {
            position++;
            token = String.valueOf(character);
        }
    }

    private static boolean isIdentifierPart(char character) {
        return Character.isUnicodeIdentifierPart(character) || character == '$';
    }

    /** Reads quoted text and returns its content, in which a doubled quote is one quote. */
    private String readQuoted(char quote) {
        StringBuilder content = new StringBuilder();
        for (position++; position < text.length(); position++) {
            if (text.charAt(position) != quote) {
                content.append(text.charAt(position));
            } else if (position + 1 < text.length() && text.charAt(position + 1) == quote) {
                content.append(quote);
                position++;
            } else {
                position++;
                return content.toString();
            }
        }
        return content.toString();
    }

    private void skipSpaceAndComments() {
        while (position < text.length()) {
            if (Character.isWhitespace(text.charAt(position))) {
                position++;
            } else if (text.startsWith("--", position)) {
                int end = text.indexOf('\n', position);
                position = end < 0 ? text.length() : end + 1;
            } else if (text.startsWith("/*", position)) {
                int end = text.indexOf("*/", position + 2);
                position = end < 0 ? text.length() : end + 2;
            } else {
                return;
            }
        }
    }
}
