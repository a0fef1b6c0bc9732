import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads messages of HTTP/1.1 from a socket. */
final class Wire {

  private Wire() {}

  /** Head of a message: its first line and its fields in order. */
  record Head(String first, List<String[]> fields) {

    String field(String name) {
      for (String[] f : fields) {
        if (f[0].equalsIgnoreCase(name)) {
          return f[1];
        }
      }
      return "";
    }

    int status() {
      return Integer.parseInt(first.split(" ", 3)[1]);
    }
  }

  /** A complete message, or one that ended early. */
  record Message(Head head, byte[] body, boolean complete) {

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Reads a head; null if the connection ended before it. */
  static Head readHead(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int last = 0;
    while (last != 0x0d0a0d0a) {
      int c = in.read();
      if (c < 0) {
        return null;
      }
      bytes.write(c);
      last = last << 8 | c;
    }
    String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    List<String[]> fields = new ArrayList<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      fields.add(new String[] {lines[i].substring(0, colon), lines[i].substring(colon + 1).strip()});
    }
    return new Head(lines[0], fields);
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int c = in.read();
    while (c >= 0 && c != '\n') {
      bytes.write(c);
      c = in.read();
    }
    return c < 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1).strip();
  }

  /** Reads a body with a length, in chunks, or none; {@code complete} tells whether it ended. */
  static Message readBody(Head head, InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = true;
    if (head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      while (true) {
        String size = readLine(in);
        if (size == null) {
          complete = false;
          break;
        }
        int n = Integer.parseInt(size.split(";")[0], 16);
        byte[] chunk = in.readNBytes(n);
        body.writeBytes(chunk);
        complete = chunk.length == n && readLine(in) != null;
        if (n == 0 || !complete) {
          break;
        }
      }
    } else if (!head.field("Content-Length").isEmpty()) {
      int n = Integer.parseInt(head.field("Content-Length"));
      body.writeBytes(in.readNBytes(n));
      complete = body.size() == n;
    }
    return new Message(head, body.toByteArray(), complete);
  }

  /** Sends a request and reads the answer; null if the connection ended before a head. */
  static Message call(Socket socket, byte[] request) throws IOException {
    socket.getOutputStream().write(request);
    socket.getOutputStream().flush();
    Head head = readHead(socket.getInputStream());
    return head == null ? null : readBody(head, socket.getInputStream());
  }
}
