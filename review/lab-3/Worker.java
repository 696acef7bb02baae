import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a worker on a machine of its own: registers in the store, beats, crashes and comes back. */
final class Worker {
    /** Answers one request on [wire]. */
    interface Answer {
        void write(Worker worker, Wire wire, Wire.Head request, byte[] body) throws Exception;
    }

    static final long BEAT_MS = 1200;

    /** A load from the worker's own disk, which a restart keeps. */
    private static final long DISK_LOAD_MS = 500;
    private static final AtomicInteger lastId = new AtomicInteger();

    final Listener listener;
    private final Store store;
    private final String service;
    private final String model;
    private final int slots;
    private final Answer answer;
    private volatile String id = newId();
    private volatile String version;
    private volatile long born = System.currentTimeMillis();
    private volatile boolean isUp = true;
    private volatile boolean hasModel;
    private volatile boolean isBusy;
    private volatile long sequence;
    private final AtomicInteger running = new AtomicInteger();

    Worker(Store store, String host, String service, String version, String model, int slots, Answer answer)
        throws IOException {
        this.store = store;
        this.service = service;
        this.version = version;
        this.model = model;
        hasModel = model != null;
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
            hasModel = false;
            isBusy = false;
            sequence = 0;
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
            if (head.target().equals("/-/report")) {
                wire.write(json(200, "{" + state() + ",\"busy\":" + isBusy + ",\"queued\":0,\"active\":" + running.get()
                    + ",\"kv_used\":0,\"kv_total\":157442,\"handles\":0,\"pending\":[],\"runs\":[]}"));
            } else if (expected != null && !expected.equals(id)) {
                wire.write("HTTP/1.1 421 Misdirected Request\r\n" + fields(head) + "Content-Length: 0\r\n\r\n");
            } else if (head.target().equals("/-/order")) {
                wire.write(json(order(Json.object(new String(body))), "{}"));
            } else if (model != null && !hasModel) {
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

    /** Carries out an order to load the model; the status of the answer. Others aren't given here. */
    private synchronized int order(Map<String, Object> order) {
        boolean isLoad = "load".equals(order.get("op_type")) && model.equals(order.get("model"));
        if (!isLoad || order.containsKey("adapter")) return 400;
        if (hasModel) return 200;
        Object expected = order.get("expected");
        if (isBusy || expected != null && (Long) expected != sequence) return 409;
        isBusy = true;
        sequence++;
        String loader = id;
        Lab.daemon(() -> {
            Lab.sleep(DISK_LOAD_MS);
            if (!loader.equals(id) || !isUp) return;
            hasModel = true;
            isBusy = false;
            register();
        });
        return 202;
    }

    private static String json(int status, String body) {
        return "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + body;
    }

    private String state() {
        String held = hasModel ? "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}" : "";
        return (model == null ? "" : "\"stage\":\"combined\",\"models\":[" + held + "],")
            + "\"sequence\":" + sequence + ",\"born\":" + born;
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
            + ",\"state\":\"ready\",\"cold_remaining_ms\":0," + state() + "}");
    }

    private static String newId() {
        return "i-" + String.format("%08x", 0x5a000000 + lastId.incrementAndGet());
    }
}
