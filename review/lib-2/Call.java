import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One HTTP call on a connection of its own. */
final class Call {

    private Call() {}

    /** Sends a request and reads the whole response. */
    static Message send(String address, String method, String target, Map<String, String> fields, byte[] body, int millis)
            throws IOException {
        try (Socket socket = open(address, millis)) {
            write(socket, address, method, target, fields, body);
            Message response = Message.read(new BufferedInputStream(socket.getInputStream()));
            if (response == null) {
                throw new IOException("closed without a response");
            }
            return response;
        }
    }

    static Message send(String address, String method, String target, String body, int millis) throws IOException {
        return send(address, method, target, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), millis);
    }

    static Socket open(String address, int millis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    Math.min(millis, 1000));
            socket.setSoTimeout(millis);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    static void write(Socket socket, String host, String method, String target, Map<String, String> fields, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + ' ' + target + " HTTP/1.1\r\n");
        if (!fields.containsKey("Host")) {
            head.append("Host: ").append(host).append("\r\n");
        }
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (!method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[start.length + body.length];
        System.arraycopy(start, 0, whole, 0, start.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        OutputStream out = socket.getOutputStream();
        out.write(whole);
        out.flush();
    }
}
