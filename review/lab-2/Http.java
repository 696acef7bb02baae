import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP/1.1 over plain sockets, as far as the stand-ins need it; a thread for each connection. */
final class Http {
    private Http() {
    }

    /** A request or an answer: its first line, its fields with names in lower case, and its body. */
    record Message(String line, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(), "");
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Handles one request on a connection; returns false to close it. */
    interface Handler {
        boolean handle(Message request, Connection connection) throws IOException, InterruptedException;
    }

    /** A connection of a server. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void answer(int status, String fields, String body) throws IOException {
            send("HTTP/1.1 " + status + " -\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    /** Serves [handler] on [host] at [port], 0 for a free one; returns the listening socket. */
    static ServerSocket serve(String host, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1024);
        daemon(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serveConnection(socket, handler));
            }
        });
        return server;
    }

    private static void serveConnection(Socket socket, Handler handler) throws Exception {
        try (socket) {
            Connection connection = new Connection(socket);
            for (Message request = read(connection.in); request != null; request = read(connection.in)) {
                if (!handler.handle(request, connection)) return;
            }
        }
    }

    /** Reads one message with its body by length or in chunks; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Map<String, String> fields = readFields(in);
        if (fields.getOrDefault("transfer-encoding", "").contains("chunked")) {
            return new Message(line, fields, readChunks(in));
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0").trim());
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new IOException("the body ended after " + body.length + " of " + length + " bytes");
        return new Message(line, fields, body);
    }

    static Map<String, String> readFields(InputStream in) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            if (colon > 0) fields.put(field.substring(0, colon).toLowerCase(), field.substring(colon + 1).trim());
        }
        return fields;
    }

    static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new IOException("the body ended between chunks after " + body.size() + " bytes");
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) throw new IOException("the body ended inside a chunk after " + body.size() + " bytes");
            body.write(chunk);
            if (readLine(in) == null) throw new IOException("the body ended after " + body.size() + " bytes");
            if (length == 0) return body.toByteArray();
        }
    }

    /** Reads one line without its end; null at the end of the connection. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** An action of a thread, which may fail when its connection ends. */
    interface Action {
        void run() throws Exception;
    }

    static Thread daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                if (System.getenv("RIG_DEBUG") != null) System.err.println("thread ended: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
