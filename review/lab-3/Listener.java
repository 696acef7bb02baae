import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening socket on a loopback address with a thread for each connection; it can go down and come back. */
final class Listener {
    /** Serves one connection until it ends. */
    interface Service {
        void serve(Wire wire) throws Exception;
    }

    final String host;
    int port;
    private final Service service;
    private final Set<Wire> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;

    Listener(String host, Service service) throws IOException {
        this.host = host;
        this.service = service;
        start();
    }

    String address() {
        return host + ":" + port;
    }

    /** Listens; at the same port as before, if it did before. */
    synchronized void start() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1024);
        port = socket.getLocalPort();
        server = socket;
        Lab.daemon(() -> accept(socket));
    }

    /** Goes down like a process that ends: the port closes, and all connections are reset. */
    synchronized void crash() {
        try {
            server.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
        open.forEach(Wire::reset);
        open.clear();
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket accepted = socket.accept();
                Wire wire = new Wire(accepted);
                open.add(wire);
                Lab.daemon(() -> serve(wire));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Wire wire) {
        try (wire) {
            service.serve(wire);
        } catch (Exception ignored) {
            // The peer went away.
        } finally {
            open.remove(wire);
        }
    }
}
