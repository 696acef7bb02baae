import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many callers of one zone send bodies at once, each as long as the configuration allows and at a pace far below the
 * link's, while others go on with small requests on kept connections. Rule CONFIG, on answers at a route's time-out.
 */
final class LargeBodies {
    /** Callers of the zone, as at smoky-d of the sheet, and the largest factor of its `burst` of all traffic. */
    private static final int USUAL_UPLOADS = 27;
    private static final int BURST_UPLOADS = 46;
    private static final int BODY_BYTES = 4_194_304;
    private static final int PART_BYTES = 65_536;
    private static final long PART_GAP_MS = 45;
    private static final int CALLERS = 16;
    private static final long CALL_GAP_MS = 40;
    private static final long DEADLINE_MS = 4000;
    private static final long TIMEOUT_MS = 2000;
    private static final long SLACK_MS = 500;
    private static final int LEAST = 8;

    /** A small request: when it was sent, and when its answer was whole; 0 while it has none. */
    private static final class Call {
        final String id;
        final long sentAt = Lab.millis();
        volatile long answeredAt;
        volatile int status;

        Call(String id) {
            this.id = id;
        }
    }

    private static final Set<String> reached = ConcurrentHashMap.newKeySet();
    private static final List<Call> calls = new ArrayList<>();
    private static final AtomicInteger uploaded = new AtomicInteger();
    private static volatile boolean isOver;

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store("127.3.0.1");
        store.put("op/config", CONFIG);
        for (int i = 1; i <= 4; i++) new Worker(store, "127.3.1." + i, "desk", "v1", "", 6, LargeBodies::answer);
        int digestPort = Lab.freePort("127.3.2.1");
        Lab.Gateway gateway = new Lab.Gateway("edge-1", "127.3.2.1", store.listener.address(), digestPort);
        gateway.awaitReady();
        Lab.sleep(1500);
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            Lab.daemon(() -> callOnAndOn(gateway, caller));
        }
        Lab.sleep(5000);
        int uploads = Lab.TROUBLE ? BURST_UPLOADS : USUAL_UPLOADS;
        Lab.note(uploads + " callers begin to send " + BODY_BYTES + " bytes each");
        for (int i = 0; i < uploads; i++) {
            String id = "b16b" + String.format("%04x", i);
            Lab.daemon(() -> upload(gateway, id));
        }
        Lab.sleep(20_000);
        isOver = true;
        judge(gateway);
    }

    private static void judge(Lab.Gateway gateway) throws IOException {
        long now = Lab.millis();
        int late = 0;
        int unanswered = 0;
        int ran = 0;
        int served = 0;
        synchronized (calls) {
            for (Call call : calls) {
                boolean hasAnswer = call.answeredAt > 0;
                if (hasAnswer && call.status == 200) served++;
                long took = (hasAnswer ? call.answeredAt : now) - call.sentAt;
                if (took <= TIMEOUT_MS) continue;
                late++;
                if (took <= TIMEOUT_MS + SLACK_MS) continue;
                unanswered++;
                boolean hasRun = reached.contains(call.id);
                if (hasRun) ran++;
                Lab.note("small request " + call.id + " sent at " + call.sentAt + " ms, answer "
                    + (hasAnswer ? "after " + took + " ms" : "none") + (hasRun ? ", a worker ran it" : ""));
            }
            Lab.note(served + " of " + calls.size() + " small requests were served, " + uploaded + " uploads were");
        }
        Lab.note("the gateway's process is alive: " + gateway.process.isAlive());
        if (served == 0) Lab.end(2, "no small request was served");
        boolean isBroken = unanswered >= LEAST && unanswered * 2 > late;
        Lab.end(isBroken ? 1 : 0, (isBroken ? "BROKEN CONFIG: " : "held: ") + unanswered + " of " + late
            + " small requests without an answer at their route's timeout_ms had none " + SLACK_MS + " ms later, " + ran
            + " of them had run at a worker");
    }

    private static void answer(Worker worker, Wire wire, Wire.Head request, byte[] body) throws Exception {
        reached.add(request.field("X-Request-Id"));
        Lab.sleep(85);
        wire.write("HTTP/1.1 200 OK\r\n" + worker.fields(request)
            + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
    }

    /** Sends small requests on kept connections, one after the other; it gives each up at its deadline. */
    private static void callOnAndOn(Lab.Gateway gateway, int caller) {
        for (int i = 0; !isOver; ) {
            try (Wire wire = gateway.connect()) {
                wire.socket.setSoTimeout((int) DEADLINE_MS);
                boolean isKept = true;
                while (isKept && !isOver) {
                    Call call = new Call("5eed" + String.format("%02x%04x", caller, i++));
                    synchronized (calls) {
                        calls.add(call);
                    }
                    Wire.Head head = send(wire, call.id, "x".repeat(600).getBytes(), PART_BYTES);
                    call.status = head.status();
                    call.answeredAt = Lab.millis();
                    isKept = !"close".equalsIgnoreCase(head.field("Connection"));
                    Lab.sleep(CALL_GAP_MS);
                }
            } catch (IOException e) {
                Lab.sleep(150);
            }
        }
    }

    private static void upload(Lab.Gateway gateway, String id) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        try (Wire wire = gateway.connect()) {
            wire.socket.setSoTimeout((int) DEADLINE_MS);
            Wire.Head head = send(wire, id, body, PART_BYTES);
            if (head.status() == 200) uploaded.incrementAndGet();
            Lab.note("upload " + id + " was answered " + head.status());
        } catch (IOException e) {
            Lab.note("upload " + id + " ended without an answer: " + e.getMessage());
        }
    }

    private static Wire.Head send(Wire wire, String id, byte[] body, int partBytes) throws IOException {
        wire.write("POST /book/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
            + DEADLINE_MS + "\r\nAuthorization: Bearer key1\r\nContent-Length: " + body.length + "\r\n\r\n");
        for (int at = 0; at < body.length; at += partBytes) {
            wire.out.write(body, at, Math.min(partBytes, body.length - at));
            if (body.length > partBytes) Lab.sleep(PART_GAP_MS);
        }
        wire.out.flush();
        Wire.Head head = wire.readHead();
        if (head == null) throw new EOFException("the connection was closed");
        wire.readBody(head);
        return head;
    }

    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"host\":\"site.example\","
        + "\"prefix\":\"/book/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":" + TIMEOUT_MS
        + ",\"target_latency_ms\":386,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\"public\":false}],"
        + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\","
        + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + BODY_BYTES
        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"club\","
        + "\"api_keys\":[\"key1\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":100000,"
        + "\"burst\":100000}]}";
}
