import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader of JSON: objects as maps, arrays as lists, numbers as doubles. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  static String quote(String text) {
    return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  private char next() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    return text.charAt(at);
  }

  private Object value() {
    char first = next();
    if (first == '{') {
      return object();
    }
    if (first == '[') {
      return array();
    }
    if (first == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> Double.valueOf(word);
    };
  }

  private Map<String, Object> object() {
    Map<String, Object> fields = new LinkedHashMap<>();
    at++;
    while (next() != '}') {
      if (text.charAt(at) == ',') {
        at++;
        continue;
      }
      String name = string();
      if (next() != ':') {
        throw new IllegalArgumentException("colon expected");
      }
      at++;
      fields.put(name, value());
    }
    at++;
    return fields;
  }

  private List<Object> array() {
    List<Object> items = new ArrayList<>();
    at++;
    while (next() != ']') {
      if (text.charAt(at) == ',') {
        at++;
        continue;
      }
      items.add(value());
    }
    at++;
    return items;
  }

  private String string() {
    next();
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        char escaped = text.charAt(at++);
        switch (escaped) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> out.append(escaped);
        }
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
  }
}
