import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers of two software versions serve side by side. In a drill the store is away for a moment and comes back from a
 * copy some seconds old; the gateways are killed at that moment and start again. Callers take up the streams that the
 * kill has broken. Rule ORDER, on events of two versions in one stream.
 */
final class DrillAndKill {
    private static final int OLD_WORKERS = 4;
    private static final int NEW_WORKERS = 4;
    private static final int EVENTS = 100;
    private static final long EVENT_GAP_MS = 120;
    private static final long STREAM_GAP_MS = 150;
    private static final long COPY_AGE_MS = 3000;
    private static final long AWAY_MS = 1000;
    private static final int TRIES = 3;
    private static final long FIRST_TRY_MS = 2200;
    private static final long TRY_GAP_MS = 600;
    private static final int ALLOWED = 2;

    private static final AtomicInteger lastId = new AtomicInteger();
    private static final AtomicInteger begun = new AtomicInteger();
    private static final AtomicInteger takenUp = new AtomicInteger();
    private static final AtomicInteger wentOn = new AtomicInteger();
    private static final AtomicInteger joined = new AtomicInteger();
    private static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store("127.3.0.1");
        store.put("op/config", CONFIG);
        for (int i = 1; i <= OLD_WORKERS + NEW_WORKERS; i++) {
            String version = i <= OLD_WORKERS ? "v1" : "v2";
            new Worker(store, "127.3.1." + i, "chat", version, null, 64, DrillAndKill::answer);
        }
        int digestPort = Lab.freePort("127.3.2.1");
        List<Lab.Gateway> gateways = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            gateways.add(new Lab.Gateway("edge-" + i, "127.3.2." + i, store.listener.address(), digestPort));
        }
        for (Lab.Gateway gateway : gateways) gateway.awaitReady();
        Lab.sleep(12_000);
        Lab.note("streams begin");
        Lab.daemon(() -> {
            for (int i = 0; !isOver; i++) {
                Lab.Gateway first = gateways.get(i % 2);
                Lab.daemon(() -> stream(gateways, first));
                Lab.sleep(STREAM_GAP_MS);
            }
        });
        Lab.sleep(3000);
        Store.Copy copy = store.copy();
        Lab.sleep(COPY_AGE_MS);
        if (Lab.TROUBLE) {
            boolean isDrill = !"0".equals(System.getenv("DRILL"));
            if (isDrill) store.goAway();
            for (Lab.Gateway gateway : gateways) gateway.process.destroyForcibly();
            Lab.note((isDrill ? "the store is away, and " : "") + "the gateways are killed");
            Lab.sleep(AWAY_MS);
            if (isDrill) store.comeBack(copy);
            if (isDrill) store.put("op/config", CONFIG);
            if (isDrill) Lab.note("the store is back from a copy " + COPY_AGE_MS + " ms old; the operator has written again");
            for (Lab.Gateway gateway : gateways) gateway.start();
        }
        Lab.sleep(4000);
        isOver = true;
        Lab.sleep(16_000);
        judge();
    }

    private static void judge() {
        if (begun.get() == 0) Lab.end(2, "no stream began");
        boolean isBroken = joined.get() > ALLOWED;
        Lab.end(isBroken ? 1 : 0, (isBroken ? "BROKEN ORDER: " : "held: ") + joined + " of " + begun
            + " streams hold events of two software versions, allowed are " + ALLOWED + "; " + takenUp
            + " were broken and taken up, " + wentOn + " went on");
    }

    private static void answer(Worker worker, Wire wire, Wire.Head request, byte[] body) throws Exception {
        String last = request.field("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        wire.write("HTTP/1.1 200 OK\r\n" + worker.fields(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = from; i <= EVENTS; i++) {
            Lab.sleep(EVENT_GAP_MS);
            wire.writeChunk("id: " + i + "\ndata: " + worker.version() + " piece " + i + "\n\n");
        }
        wire.write("0\r\n\r\n");
    }

    /** Asks for a stream at [first]; when its connection breaks, takes it up at one gateway or the other. */
    private static void stream(List<Lab.Gateway> gateways, Lab.Gateway first) {
        int number = lastId.incrementAndGet();
        String id = "57e0" + String.format("%06x", number);
        StringBuilder events = new StringBuilder();
        int last = receive(first, id, "", events);
        if (last == 0) return;
        begun.incrementAndGet();
        if (last == EVENTS) return;
        takenUp.incrementAndGet();
        String version = events.toString().contains("v2 piece") ? "v2" : "v1";
        for (int i = 1; i <= TRIES; i++) {
            Lab.sleep(i == 1 ? FIRST_TRY_MS : TRY_GAP_MS);
            Lab.Gateway next = gateways.get((number / 2 + i) % 2);
            StringBuilder more = new StringBuilder();
            String attempt = "57e1" + String.format("%06x", lastId.incrementAndGet());
            int reached = receive(next, attempt, "Last-Event-Id: " + last + "\r\nResumes: " + id + "\r\n", more);
            if (reached <= last) {
                Lab.note("stream " + id + " of " + version + " did not go on at " + next.name + ": " + more);
                continue;
            }
            wentOn.incrementAndGet();
            boolean isJoined = !more.toString().contains(version + " piece");
            if (isJoined) joined.incrementAndGet();
            Lab.note("stream " + id + " of " + version + " taken up after event " + last + " at " + next.name + " as "
                + attempt + (isJoined ? ": went on with events of the OTHER VERSION" : ": went on"));
            return;
        }
    }

    /** Receives events; returns the last one's number, or 0. */
    private static int receive(Lab.Gateway gateway, String id, String fields, StringBuilder events) {
        int last = 0;
        try (Wire wire = gateway.connect()) {
            wire.socket.setSoTimeout(4000);
            wire.write("POST /chat/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 20000\r\n" + fields
                + "Authorization: Bearer key1\r\nContent-Length: 2\r\n\r\n{}");
            Wire.Head head = wire.readHead();
            if (head == null) throw new EOFException("the connection was closed");
            if (head.status() != 200) {
                events.append("answered ").append(head.status()).append(' ')
                    .append(new String(wire.readBody(head), StandardCharsets.UTF_8));
                return 0;
            }
            for (byte[] part = wire.readChunk(); part != null; part = wire.readChunk()) {
                String text = new String(part, StandardCharsets.UTF_8);
                events.append(text);
                for (String line : text.split("\n")) {
                    if (line.startsWith("id: ")) last = Integer.parseInt(line.substring(4).trim());
                }
            }
        } catch (IOException e) {
            events.append("broken off: ").append(e.getMessage());
        }
        return last;
    }

    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"site.example\","
        + "\"prefix\":\"/chat/\",\"route_type\":\"streaming\",\"timeout_ms\":20000,\"target_latency_ms\":1000,"
        + "\"priority\":0,\"service\":\"chat\",\"max_attempts\":2,\"public\":false,\"sticky\":false,"
        + "\"resumable\":true,\"gap_target_ms\":300}],\"services\":[{\"name\":\"chat\",\"health_path\":\"/healthz\","
        + "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
        + "\"name\":\"club\",\"api_keys\":[\"key1\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,"
        + "\"rate_per_s\":100000,\"burst\":100000}]}";
}
