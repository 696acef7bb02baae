import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a worker on a machine of its own: registers in the store, beats, crashes and comes back. */
final class Worker {
    /** Answers one request on [wire]. */
    interface Answer {
        void write(Worker worker, Wire wire, Wire.Head request, byte[] body) throws Exception;
    }

    static final long BEAT_MS = 1200;
    private static final AtomicInteger lastId = new AtomicInteger();

    final Listener listener;
    private final Store store;
    private final String service;
    private final String models;
    private final int slots;
    private final Answer answer;
    private volatile String id = newId();
    private volatile String version;
    private volatile long born = System.currentTimeMillis();
    private volatile boolean isUp = true;
    private final AtomicInteger running = new AtomicInteger();

    Worker(Store store, String host, String service, String version, String models, int slots, Answer answer)
        throws IOException {
        this.store = store;
        this.service = service;
        this.version = version;
        this.models = models;
        this.slots = slots;
        this.answer = answer;
        listener = new Listener(host, this::serve);
        register();
        Lab.daemon(this::beat);
    }

    String id() {
        return id;
    }

    String version() {
        return version;
    }

    /** Ends like a process of which nothing is left, and starts anew after [downMs] with a new id. */
    void crash(long downMs) {
        synchronized (this) {
            if (!isUp) return;
            isUp = false;
        }
        listener.crash();
        String ended = id;
        Lab.daemon(() -> {
            Lab.sleep(3 * BEAT_MS);
            store.remove("servers/" + ended);
        });
        Lab.daemon(() -> {
            Lab.sleep(downMs);
            id = newId();
            restart();
        });
    }

    private void restart() {
        try {
            born = System.currentTimeMillis();
            listener.start();
            isUp = true;
            register();
        } catch (IOException e) {
            Lab.end(2, "a worker couldn't start again: " + e);
        }
    }

    /** The fields that each of its answers has. */
    String fields(Wire.Head request) {
        return "X-Request-Id: " + request.field("X-Request-Id") + "\r\nX-Server-Signature: " + id + "\r\n"
            + "X-Server-Load: " + running.get() + ",0," + slots + "\r\nKeep-Alive: timeout=5\r\n";
    }

    private void serve(Wire wire) throws Exception {
        for (Wire.Head head = wire.readHead(); head != null; head = wire.readHead()) {
            byte[] body = wire.readBody(head);
            String expected = head.field("X-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                wire.write("HTTP/1.1 421 Misdirected Request\r\n" + fields(head) + "Content-Length: 0\r\n\r\n");
            } else {
                running.incrementAndGet();
                try {
                    answer.write(this, wire, head, body);
                } finally {
                    running.decrementAndGet();
                }
            }
        }
    }

    private void beat() {
        while (true) {
            Lab.sleep(BEAT_MS);
            if (isUp) register();
        }
    }

    private void register() {
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + listener.address()
            + "\",\"zone\":\"zone-a\",\"version\":\"" + version + "\",\"slots\":" + slots
            + ",\"state\":\"ready\",\"cold_remaining_ms\":0" + models + ",\"sequence\":0,\"born\":" + born + "}");
    }

    private static String newId() {
        return "i-" + String.format("%08x", 0x5a000000 + lastId.incrementAndGet());
    }
}
