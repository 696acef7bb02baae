import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a worker of an application service: runs each request for a while and answers with a signed body. */
final class AppWorker {
    /** A request that began to run. */
    record Run(String id, String method, String path, String tenant, byte[] body, long at) {
    }

    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final long HEARTBEAT_MILLIS = 1_200;

    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger held = new AtomicInteger();
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

    /** Registers under [service] and writes its entry at each heartbeat. */
    void register(Store store, String service) {
        String entry = Rig.worker(service, address(), SLOTS, System.currentTimeMillis(), List.of());
        store.put("servers/" + id, entry);
        Http.daemon(() -> {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                store.put("servers/" + id, entry);
            }
        });
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs);
    }

    private boolean handle(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
        String requestId = request.field("X-Request-Id");
        String fields = "X-Request-Id: " + requestId + "\r\nX-Server-Load: " + Math.min(held.get(), SLOTS) + ","
            + Math.max(held.get() - SLOTS, 0) + "," + SLOTS + "\r\nKeep-Alive: timeout=8\r\n";
        if (!request.field("X-Expect-Instance").equals(id)) {
            connection.answer(421, fields, "");
            return true;
        }
        if (requestId.isEmpty()) {
            connection.answer(400, fields + "X-Not-Executed: 1\r\n", "");
            return true;
        }
        if (held.incrementAndGet() > SLOTS + QUEUE) {
            held.decrementAndGet();
            connection.answer(503, fields + "X-Not-Executed: 1\r\n", "");
            return true;
        }
        slots.acquire();
        Run run = new Run(requestId, request.method(), request.target(), request.field("X-Tenant"), request.body(), rig.now());
        synchronized (this) {
            runs.add(run);
        }
        Thread.sleep(workMillis);
        slots.release();
        held.decrementAndGet();
        connection.answer(200, fields + "X-Server-Signature: s-" + requestId + "\r\n", "x".repeat(bodyBytes));
        return true;
    }
}
