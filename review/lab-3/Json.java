import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader: objects are maps, arrays are lists, numbers are longs or doubles. */
final class Json {
    private final String text;
    private int at = 0;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? Map.of() : (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> rows(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private Object value() {
        skipBlanks();
        char c = text.charAt(at);
        if (c == '{') return object();
        if (c == '[') return list();
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("true")) return Boolean.TRUE;
        if (word.equals("false")) return Boolean.FALSE;
        if (word.equals("null")) return null;
        if (word.matches("-?[0-9]+")) return Long.parseLong(word);
        return Double.parseDouble(word);
    }

    private Map<String, Object> object() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != '}') {
            String name = string();
            skipBlanks();
            at++;
            fields.put(name, value());
            skipBlanks();
            if (text.charAt(at) == ',') at++;
            skipBlanks();
        }
        at++;
        return fields;
    }

    private List<Object> list() {
        List<Object> items = new ArrayList<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != ']') {
            items.add(value());
            skipBlanks();
            if (text.charAt(at) == ',') at++;
            skipBlanks();
        }
        at++;
        return items;
    }

    private String string() {
        skipBlanks();
        StringBuilder built = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                built.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            if (escaped == 'u') {
                built.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                at += 4;
            } else {
                built.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped == 'r' ? '\r' : escaped);
            }
        }
        at++;
        return built.toString();
    }

    private void skipBlanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
