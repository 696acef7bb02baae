import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of prompts, never the last, crashes each worker that begins to write an answer on it. Conversations are long:
 * that part is the 18th of 19. Rule BUDGET.
 */
final class DeepPart {
    private static final String DEADLY = "dead0001";
    private static final int PARTS_BEFORE = Integer.parseInt(System.getenv().getOrDefault("PARTS_BEFORE", "17"));
    private static final long CONTACT_MS = 3000;
    private static final long RUN_MS = 45_000;
    private static final long DEADLY_GAP_MS = 800;
    private static final long SOUND_GAP_MS = 80;
    private static final int ALLOWED = 3;

    private static final List<Long> crashes = new ArrayList<>();
    private static final List<Long> deadlyArrivals = new ArrayList<>();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger asked = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store("127.3.0.1");
        store.put("op/config", CONFIG);
        int digestPort = Lab.freePort("127.3.2.1");
        for (int i = 1; i <= 6; i++) {
            Worker worker = new Worker(store, "127.3.1." + i, "chat-models", "v1", "base", 64, DeepPart::answer);
            Lab.startPlacer("side-" + i, "127.3.1." + i, digestPort, worker.listener.address());
        }
        List<Lab.Gateway> gateways = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            gateways.add(new Lab.Gateway("edge-" + i, "127.3.2." + i, store.listener.address(), digestPort));
        }
        for (Lab.Gateway gateway : gateways) gateway.awaitReady();
        Lab.sleep(3000);
        long from = Lab.millis();
        for (int i = 0; Lab.millis() - from < RUN_MS; i++) {
            Lab.Gateway gateway = gateways.get(i % 2);
            String sound = "50bd" + String.format("%04x", i);
            Lab.daemon(() -> ask(gateway, sound, "aaaa" + sound.substring(4)));
            boolean isDeadlyDue = i % (DEADLY_GAP_MS / SOUND_GAP_MS) == 0 && Lab.millis() - from > 5_000;
            String deadly = "de5d" + String.format("%04x", i);
            Lab.Gateway other = gateways.get(i / 10 % 2);
            if (Lab.TROUBLE && isDeadlyDue) Lab.daemon(() -> ask(other, deadly, DEADLY));
            Lab.sleep(SOUND_GAP_MS);
        }
        Lab.sleep(2000);
        judge();
    }

    private static synchronized void judge() {
        Lab.note(served + " of " + asked + " sound requests were served, " + crashes.size() + " crashes");
        if (served.get() == 0) Lab.end(2, "no request was served");
        if (crashes.size() < 5) {
            Lab.end(0, "held: " + crashes.size() + " crashes, " + deadlyArrivals.size() + " requests with the part reached workers");
        }
        long bound = crashes.get(4) + CONTACT_MS;
        long late = deadlyArrivals.stream().filter(it -> it > bound).count();
        String text = late + " requests with the part reached workers later than " + CONTACT_MS
            + " ms after the fifth crash, allowed are " + ALLOWED + "; " + crashes.size() + " crashes";
        Lab.end(late > ALLOWED ? 1 : 0, (late > ALLOWED ? "BROKEN BUDGET: " : "held: ") + text);
    }

    private static void answer(Worker worker, Wire wire, Wire.Head request, byte[] body) throws Exception {
        String id = request.field("X-Request-Id");
        if (request.field("X-Prompt-Prefix").contains(DEADLY)) {
            synchronized (DeepPart.class) {
                deadlyArrivals.add(Lab.millis());
                Lab.note("request " + id + " with part " + DEADLY + " reached worker " + worker.id());
            }
            Lab.sleep(30);
            synchronized (DeepPart.class) {
                crashes.add(Lab.millis());
                Lab.note("worker " + worker.id() + " crashed");
            }
            worker.crash(2000);
            return;
        }
        wire.write("HTTP/1.1 200 OK\r\n" + worker.fields(request)
            + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= 12; i++) {
            Lab.sleep(40);
            wire.writeChunk("id: " + i + "\ndata: piece\n\n");
        }
        wire.write("0\r\n\r\n");
    }

    private static void ask(Lab.Gateway gateway, String id, String part) {
        boolean isSound = !part.equals(DEADLY);
        if (isSound) asked.incrementAndGet();
        StringBuilder prefix = new StringBuilder();
        for (int i = 0; i < PARTS_BEFORE; i++) prefix.append(String.format("c0de%04x:60,", i));
        prefix.append(part).append(":60,").append("1a57").append(id).append(":40");
        String body = "{\"turn\":\"" + id + "\"}";
        try (Wire wire = gateway.connect()) {
            wire.socket.setSoTimeout(12_000);
            wire.write("POST /chat/talk HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id + "\r\nX-Model: base\r\n"
                + "X-Token-Usage: " + (60 * (PARTS_BEFORE + 1) + 40) + ",72\r\nX-Prompt-Prefix: " + prefix
                + "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key1\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
            Wire.Head head = wire.readHead();
            if (head == null) throw new java.io.EOFException("no answer");
            wire.readBody(head);
            if (isSound && head.status() == 200) served.incrementAndGet();
            if (!isSound) Lab.note("request " + id + " with part " + DEADLY + " was answered " + head.status());
        } catch (Exception e) {
            if (!isSound) Lab.note("request " + id + " with part " + DEADLY + " ended without an answer: " + e.getMessage());
        }
    }

    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"site.example\","
        + "\"prefix\":\"/chat/\",\"route_type\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":500,"
        + "\"priority\":0,\"service\":\"chat-models\",\"max_attempts\":1,\"public\":false,\"sticky\":true,"
        + "\"resumable\":false,\"gap_target_ms\":300}],\"services\":[{\"name\":\"chat-models\","
        + "\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":64,\"kv_capacity\":157442,\"models\":[{\"name\":\"base\",\"weights_mb\":72700.0,"
        + "\"load_s\":2.9,\"adapters\":3000,\"adapter_mb\":66.0}],\"weights_mb\":75900.0,\"adapter_slots\":26,"
        + "\"loads_per_s\":3.5}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"club\","
        + "\"api_keys\":[\"key1\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":100000,"
        + "\"burst\":100000}]}";
}
