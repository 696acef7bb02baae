import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 connection of a stand-in, server or client: reads heads and bodies, writes raw bytes. */
final class Wire implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** A head: its first line and its fields. */
    record Head(String line, List<String[]> fields) {
        String field(String name) {
            for (String[] field : fields) if (field[0].equalsIgnoreCase(name)) return field[1];
            return null;
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
    }

    /** The next head; null at the end of the connection. */
    Head readHead() throws IOException {
        String line = readLine();
        if (line == null) return null;
        List<String[]> fields = new ArrayList<>();
        for (String next = readLine(); next != null && !next.isEmpty(); next = readLine()) {
            int colon = next.indexOf(':');
            fields.add(new String[] {next.substring(0, colon), next.substring(colon + 1).trim()});
        }
        return new Head(line, fields);
    }

    /** The whole body that follows a head of a request, or of an answer with a length or in chunks. */
    byte[] readBody(Head head) throws IOException {
        String encoding = head.field("Transfer-Encoding");
        if (encoding != null && encoding.equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(); chunk != null; chunk = readChunk()) all.write(chunk);
            return all.toByteArray();
        }
        String length = head.field("Content-Length");
        return readExactly(length == null ? 0 : Integer.parseInt(length.trim()));
    }

    /** The next chunk of a body; null after the last one. */
    byte[] readChunk() throws IOException {
        String size = readLine();
        if (size == null) throw new EOFException("the connection ended inside a body");
        int count = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] chunk = readExactly(count);
        readLine();
        return count == 0 ? null : chunk;
    }

    byte[] readExactly(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("the connection ended inside a body");
        return bytes;
    }

    void write(String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    void writeChunk(String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        write(Integer.toHexString(bytes.length) + "\r\n" + new String(bytes, StandardCharsets.ISO_8859_1) + "\r\n");
    }

    /** Closes the connection with a reset. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException ignored) {
            // The connection is closed already.
        }
        close();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) return line.length() == 0 ? null : line.toString();
            if (next != '\r') line.append((char) next);
        }
        return line.toString();
    }
}
