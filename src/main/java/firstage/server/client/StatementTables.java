package firstage.server.client;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Set;

/**
 * Finds the group of tables that a statement reads or writes: the number after the underscore in
 * the name of the schema (17 in {@code sales_17.orders}). What stands in strings and comments does
 * not count, nor does the schema {@code staging}; only a name in a place where a table may stand is
 * one of a schema.
 */
final class StatementTables {
    private static final Set<String> OPEN =
            Set.of("from", "join", "into", "update", "table", "using", "copy");
    private static final Set<String> CLOSE =
            Set.of(
                    "select", "where", "on", "group", "order", "having", "set", "values", "limit",
                    "union");
    private final String text;
    private int at;

    /** The token last read: a name (as written, without quotes), one sign, or null at the end. */
    private String token;

    private boolean name;

    private StatementTables(byte[] bytes) {
        text = new String(bytes, StandardCharsets.UTF_8);
    }

    /** The group, or -1 where the statement names none. */
    static int group(byte[] bytes) {
        return new StatementTables(bytes).find();
    }

    private int find() {
        // Where tables may stand: after FROM and its like, in the statement or in a query within
        // brackets.
        boolean tables = false;
        boolean query = true;
        Deque<boolean[]> outer = new ArrayDeque<>();
        String before = "";
        int elsewhere = -1;
        next();
        while (token != null) {
            String word = token;
            boolean isName = name;
            next();
            if (isName && ".".equals(token)) {
                int group = number(word);
                next();
                if (name) {
                    next();
                }
                if (group >= 0 && tables) {
                    return group;
                }
                elsewhere = elsewhere < 0 ? group : elsewhere;
            } else if (isName) {
                query |= word.equalsIgnoreCase("select");
                boolean opens =
                        OPEN.contains(word.toLowerCase(Locale.ROOT))
                                && query
                                && !before.equalsIgnoreCase("distinct");
                tables = opens || tables && !CLOSE.contains(word.toLowerCase(Locale.ROOT));
            } else if (word.equals("(")) {
                outer.push(new boolean[] {tables, query});
                query = false;
            } else if (word.equals(")") && !outer.isEmpty()) {
                tables = outer.peek()[0];
                query = outer.pop()[1];
            } else {
                tables &= word.equals(",");
            }
            before = word;
        }
        return elsewhere;
    }

    /** The digits after the last underscore of a schema's name, or -1. */
    private static int number(String schema) {
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

    private void next() {
        skip();
        name = false;
        if (at >= text.length()) {
            token = null;
            return;
        }
        char c = text.charAt(at);
        if (c == '"' || c == '`') {
            token = quoted(c);
            name = true;
        } else if (c == '\'') {
            quoted(c);
            token = "'";
        } else if (Character.isUnicodeIdentifierStart(c) || c == '_') {
            int from = at;
            while (at < text.length() && isPart(text.charAt(at))) {
                at++;
            }
            token = text.substring(from, at);
            name = true;
        } else if (c >= '0' && c <= '9') {
            while (at < text.length() && Character.isLetterOrDigit(text.charAt(at))) {
                at++;
            }
            token = "0";
        } else {
            at++;
            token = String.valueOf(c);
        }
    }

    private static boolean isPart(char c) {
        return Character.isUnicodeIdentifierPart(c) || c == '$';
    }

    /** Reads a quoted text; a doubled quote within stands for one. */
    private String quoted(char quote) {
        StringBuilder content = new StringBuilder();
        for (at++; at < text.length(); at++) {
            if (text.charAt(at) != quote) {
                content.append(text.charAt(at));
            } else if (at + 1 < text.length() && text.charAt(at + 1) == quote) {
                content.append(quote);
                at++;
            } else {
                at++;
                return content.toString();
            }
        }
        return content.toString();
    }

    private void skip() {
        while (at < text.length()) {
            if (Character.isWhitespace(text.charAt(at))) {
                at++;
            } else if (text.startsWith("--", at)) {
                int end = text.indexOf('\n', at);
                at = end < 0 ? text.length() : end + 1;
            } else if (text.startsWith("/*", at)) {
                int end = text.indexOf("*/", at + 2);
                at = end < 0 ? text.length() : end + 2;
            } else {
                return;
            }
        }
    }
}
