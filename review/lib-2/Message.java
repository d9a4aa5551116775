import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message: first line, header fields by lower-case name, body. */
final class Message {

    final String line;
    final Map<String, String> fields;
    byte[] body = new byte[0];

    private Message(String line, Map<String, String> fields) {
        this.line = line;
        this.fields = fields;
    }

    /** Reads a message with its body; null at the end of the connection. */
    static Message read(BufferedInputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.readBody(in);
        }
        return message;
    }

    /** Reads the first line and the header fields; null at the end of the connection. */
    static Message readHead(BufferedInputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        String field = readLine(in);
        while (field != null && !field.isEmpty()) {
            int colon = field.indexOf(':');
            fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
            field = readLine(in);
        }
        if (field == null) {
            throw new EOFException("head cut off");
        }
        return new Message(line, fields);
    }

    String field(String name) {
        return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Method of a request. */
    String method() {
        return line.split(" ")[0];
    }

    /** Target of a request. */
    String target() {
        return line.split(" ")[1];
    }

    /** Status of a response. */
    int status() {
        return Integer.parseInt(line.split(" ")[1]);
    }

    private void readBody(BufferedInputStream in) throws IOException {
        if (field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            byte[] chunk = readChunk(in);
            while (chunk.length > 0) {
                whole.writeBytes(chunk);
                chunk = readChunk(in);
            }
            body = whole.toByteArray();
        } else if (!field("Content-Length").isEmpty()) {
            body = readExactly(in, Integer.parseInt(field("Content-Length")));
        }
    }

    /** Reads one chunk of a body; empty for the last one. */
    static byte[] readChunk(BufferedInputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("body cut off");
        }
        byte[] data = readExactly(in, Integer.parseInt(size.trim(), 16));
        readLine(in);
        return data;
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] data = in.readNBytes(length);
        if (data.length < length) {
            throw new EOFException("body cut off");
        }
        return data;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("line cut off");
        }
        return line.toString();
    }
}
