import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers of two software versions serve side by side. In a drill the store is away for a moment and comes back from a
 * copy some seconds old. From then on, streams are broken on their way to callers, who take them up at the other
 * gateway, as they do without the drill. Rule LOST, on streams that are taken up.
 */
final class Drill {
    private static final int OLD_WORKERS = 6;
    private static final int NEW_WORKERS = 2;
    private static final int EVENTS = 20;
    private static final int BROKEN_AFTER = 6;
    private static final long EVENT_GAP_MS = 80;
    private static final long STREAM_GAP_MS = 200;
    private static final long COPY_AGE_MS = 3000;
    private static final long AWAY_MS = 1000;
    private static final long CONTACT_MS = 3000;
    private static final long JUDGED_MS = 30_000;
    private static final int LEAST = 12;
    private static final int TRIES = 2;

    private static final AtomicInteger lastId = new AtomicInteger();
    private static final AtomicInteger asked = new AtomicInteger();
    private static final AtomicInteger begun = new AtomicInteger();
    private static final AtomicInteger takenUp = new AtomicInteger();
    private static final AtomicInteger wentOn = new AtomicInteger();
    private static final AtomicInteger joined = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store("127.3.0.1");
        store.put("op/config", CONFIG);
        for (int i = 1; i <= OLD_WORKERS + NEW_WORKERS; i++) {
            String version = i <= OLD_WORKERS ? "v1" : "v2";
            new Worker(store, "127.3.1." + i, "chat", version, null, 64, Drill::answer);
        }
        int digestPort = Lab.freePort("127.3.2.1");
        List<Lab.Gateway> gateways = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            gateways.add(new Lab.Gateway("edge-" + i, "127.3.2." + i, store.listener.address(), digestPort));
        }
        for (Lab.Gateway gateway : gateways) gateway.awaitReady();
        Lab.sleep(12_000);
        if (Lab.TROUBLE) {
            Store.Copy copy = store.copy();
            Lab.sleep(COPY_AGE_MS);
            store.goAway();
            Lab.note("the store is away");
            Lab.sleep(AWAY_MS);
            store.comeBack(copy);
            store.put("op/config", CONFIG);
            Lab.note("the store is back from a copy " + COPY_AGE_MS + " ms old; the operator has written again");
        }
        Lab.sleep(CONTACT_MS + 1000);
        Lab.note("streams begin");
        long from = Lab.millis();
        for (int i = 0; Lab.millis() - from < JUDGED_MS; i++) {
            Lab.Gateway first = gateways.get(i % 2);
            Lab.Gateway second = gateways.get((i + 1) % 2);
            Lab.daemon(() -> stream(first, second));
            Lab.sleep(STREAM_GAP_MS);
        }
        Lab.sleep(5000);
        judge();
    }

    private static void judge() {
        double beginShare = share(begun, asked);
        double goOnShare = share(wentOn, takenUp);
        Lab.note(joined + " streams held events of two versions");
        if (begun.get() == 0) Lab.end(2, "no stream began");
        boolean isBroken = takenUp.get() >= LEAST && goOnShare < beginShare / 2;
        Lab.end(isBroken ? 1 : 0, (isBroken ? "BROKEN LOST: " : "held: ") + wentOn + " of " + takenUp
            + " streams went on when they were taken up, " + begun + " of " + asked + " new ones began");
    }

    private static double share(AtomicInteger part, AtomicInteger whole) {
        return whole.get() == 0 ? 0 : (double) part.get() / whole.get();
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

    /** Asks for a stream at [first], loses its connection after some events, and takes it up at [second]. */
    private static void stream(Lab.Gateway first, Lab.Gateway second) {
        String id = "57e0" + String.format("%06x", lastId.incrementAndGet());
        asked.incrementAndGet();
        StringBuilder events = new StringBuilder();
        int last = receive(first, id, "", events, BROKEN_AFTER);
        if (last == 0) {
            Lab.note("stream " + id + " did not begin");
            return;
        }
        begun.incrementAndGet();
        takenUp.incrementAndGet();
        String version = events.toString().contains("v2 piece") ? "v2" : "v1";
        for (int i = 1; i <= TRIES; i++) {
            StringBuilder more = new StringBuilder();
            String next = "57e1" + String.format("%06x", lastId.incrementAndGet());
            String fields = "Last-Event-Id: " + last + "\r\nResumes: " + id + "\r\n";
            int reached = receive(second, next, fields, more, EVENTS);
            Lab.note("stream " + id + " of " + version + " taken up after event " + last + " as " + next
                + (reached > last ? ": went on to event " + reached : ": did not go on, " + more));
            if (reached > last) {
                wentOn.incrementAndGet();
                if (!more.toString().contains(version + " piece")) joined.incrementAndGet();
                return;
            }
            Lab.sleep(600);
        }
    }

    /** Receives events up to number [until] and breaks the connection then; returns the last one's number, or 0. */
    private static int receive(Lab.Gateway gateway, String id, String fields, StringBuilder events, int until) {
        int last = 0;
        try (Wire wire = gateway.connect()) {
            wire.socket.setSoTimeout(4000);
            wire.write("POST /chat/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 20000\r\n"
                + fields + "Authorization: Bearer key1\r\nContent-Length: 2\r\n\r\n{}");
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
                if (last >= until && until < EVENTS) {
                    wire.reset();
                    return last;
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
