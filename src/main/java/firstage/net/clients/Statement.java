package firstage.net.clients;

/**
 * Finds the group of tables that a statement reads or writes: the number after the underscore in the name of
 * the schema (17 in {@code sales_17.orders}). What stands in strings and comments does not count, nor does the
 * schema {@code staging}; only a name in a place where a table may stand is one of a schema.
 */
final class Statement {
    private final String text;
    private int at;
    /** The token last read: a name (as written, without quotes), one sign, or null at the end. */
    private String token;
    private boolean name;

    private Statement(byte[] bytes) {
        text = new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
    }

    /** The group, or -1 where the statement names none. */
    static int group(byte[] bytes) {
        return new Statement(bytes).find();
    }

    private int find() {
        boolean tables = false;
        int fallback = -1;
        for (next(); token != null; ) {
            if (!name) {
                tables &= token.equals(",") || token.equals("(");
                next();
                continue;
            }
            String first = token;
            boolean opens = opensTables(first);
            next();
            if (".".equals(token)) {
                int group = number(first);
                next();
                if (name && token != null) {
                    next();
                }
                if (group >= 0 && tables) {
                    return group;
                }
                if (group >= 0 && fallback < 0) {
                    fallback = group;
                }
                continue;
            }
            tables = opens || tables && !endsTables(first);
        }
        return fallback;
    }

    private static boolean opensTables(String word) {
        return switch (word.toLowerCase(java.util.Locale.ROOT)) {
            case "from", "join", "into", "update", "table", "using", "copy" -> true;
            default -> false;
        };
    }

    private static boolean endsTables(String word) {
        return switch (word.toLowerCase(java.util.Locale.ROOT)) {
            case "select", "where", "on", "group", "order", "having", "set", "values", "limit", "union" -> true;
            default -> false;
        };
    }

    /** The digits after the last underscore of a schema's name, or -1. */
    private static int number(String schema) {
        int underscore = schema.lastIndexOf('_');
        if (underscore < 1 || underscore + 1 == schema.length() || schema.length() - underscore > 10) {
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
            while (at < text.length() && (Character.isUnicodeIdentifierPart(text.charAt(at)) || text.charAt(at) == '$')) {
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
