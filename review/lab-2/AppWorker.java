import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Stand-in for a worker of an application service: runs each request for a while and answers with a signed body. */
final class AppWorker {
    /** A request that began to run. */
    record Run(String id, String method, String path, String tenant, byte[] body, long at) {
    }

    private final Rig rig;
    final String id;
    final String host;
    private final List<Run> runs = new ArrayList<>();
    final ServerSocket server;
    volatile long workMillis = 40;
    volatile int bodyBytes = 800;

    AppWorker(Rig rig, String id, String host) throws IOException {
        this.rig = rig;
        this.id = id;
        this.host = host;
        server = Http.serve(host, 0, this::handle);
    }

    String address() {
        return host + ":" + server.getLocalPort();
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs);
    }

    private boolean handle(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
        String requestId = request.field("X-Request-Id");
        String fields = "X-Request-Id: " + requestId + "\r\nX-Server-Load: 1,0,6\r\nKeep-Alive: timeout=8\r\n";
        if (!request.field("X-Expect-Instance").equals(id)) {
            connection.answer(421, fields, "");
            return true;
        }
        if (requestId.isEmpty()) {
            connection.answer(400, fields + "X-Not-Executed: 1\r\n", "");
            return true;
        }
        Run run = new Run(requestId, request.method(), request.target(), request.field("X-Tenant"), request.body(), rig.now());
        synchronized (this) {
            runs.add(run);
        }
        Thread.sleep(workMillis);
        connection.answer(200, fields + "X-Server-Signature: s-" + requestId + "\r\n", "x".repeat(bodyBytes));
        return true;
    }
}
