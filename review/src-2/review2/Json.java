package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reader of JSON texts for the stand-ins; numbers become Long or Double. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  static String quote(String value) {
    return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    space();
    char first = text.charAt(at);
    switch (first) {
      case '{':
        return map();
      case '[':
        return list();
      case '"':
        return string();
      default:
        return literal();
    }
  }

  private Map<String, Object> map() {
    Map<String, Object> map = new LinkedHashMap<>();
    at++;
    space();
    while (text.charAt(at) != '}') {
      space();
      String key = string();
      space();
      at++;
      map.put(key, value());
      space();
      if (text.charAt(at) == ',') {
        at++;
        space();
      }
    }
    at++;
    return map;
  }

  private List<Object> list() {
    List<Object> list = new ArrayList<>();
    at++;
    space();
    while (text.charAt(at) != ']') {
      list.add(value());
      space();
      if (text.charAt(at) == ',') {
        at++;
      }
      space();
    }
    at++;
    return list;
  }

  private String string() {
    StringBuilder read = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char next = text.charAt(at++);
      if (next == '\\') {
        char escaped = text.charAt(at++);
        if (escaped == 'u') {
          read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        } else {
          read.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped == 'r' ? '\r' : escaped);
        }
      } else {
        read.append(next);
      }
    }
    at++;
    return read.toString();
  }

  private Object literal() {
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    if (word.equals("true") || word.equals("false")) {
      return word.equals("true");
    }
    if (word.equals("null")) {
      return null;
    }
    return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
  }
}
