import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** One look-up crashes each worker that begins to run it and comes again; others of the same path have another query. */
public final class Case8 {
    private static final int WORKERS = 4;
    private static final long WORK_MILLIS = 60;
    private static final long DOWN_MILLIS = 2_000;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long CONTACT_MILLIS = 3_000;
    private static final String HARMFUL = "day=13";

    /** A place on which a worker of the service runs; after a crash it is back with a new id. */
    private static final class Place {
        private final Rig rig;
        private final Store store;
        private final int number;
        private final Set<Socket> sockets = new HashSet<>();
        private int incarnation;
        private ServerSocket server;
        private String id;
        private int active;
        private Semaphore slots;

        Place(Rig rig, Store store, int number) throws IOException {
            this.rig = rig;
            this.store = store;
            this.number = number;
            start();
        }

        private synchronized void start() throws IOException {
            id = "i-" + number + "-" + ++incarnation;
            String ownId = id;
            slots = new Semaphore(6, true);
            server = Http.serve("127.0.2." + number, 0, (request, connection) -> handle(ownId, request, connection));
            String address = "127.0.2." + number + ":" + server.getLocalPort();
            String entry = Rig.worker("desk", address, 6, System.currentTimeMillis(), List.of());
            store.put("servers/" + id, entry);
            Http.daemon(() -> {
                while (true) {
                    Thread.sleep(HEARTBEAT_MILLIS);
                    synchronized (this) {
                        if (!ownId.equals(id)) return;
                        store.put("servers/" + ownId, entry);
                    }
                }
            });
        }

        private boolean handle(String ownId, Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
            String requestId = request.field("X-Request-Id");
            Semaphore places;
            synchronized (this) {
                if (!ownId.equals(id)) return false;
                sockets.add(connection.socket);
                if (!request.field("X-Expect-Instance").equals(id)) {
                    connection.answer(421, "X-Request-Id: " + requestId + "\r\n", "");
                    return true;
                }
                if (active >= 6 + 24) {
                    connection.answer(503, "X-Request-Id: " + requestId + "\r\nX-Not-Executed: 1\r\n", "");
                    return true;
                }
                active++;
                places = slots;
            }
            places.acquire();
            try {
                synchronized (this) {
                    if (!ownId.equals(id)) return false;
                    if (request.target().contains(HARMFUL)) {
                        active--;
                        crash(requestId);
                        return false;
                    }
                }
                Thread.sleep(WORK_MILLIS);
            } finally {
                places.release();
            }
            String load;
            synchronized (this) {
                if (!ownId.equals(id)) return false;
                active--;
                load = Math.min(active, 6) + "," + Math.max(active - 6, 0) + ",6";
            }
            connection.answer(200, "X-Request-Id: " + requestId + "\r\nX-Server-Load: " + load + "\r\nKeep-Alive: timeout=5\r\n"
                + "X-Server-Signature: s-" + requestId + "\r\n", "{\"of\":\"" + request.target() + "\"}");
            return true;
        }

        /** Sends nothing; its entry lapses after three heartbeats, and it is back before that under another id. */
        private void crash(String requestId) throws IOException {
            String old = id;
            id = null;
            crashes.add(new Crash(rig.now(), requestId, old));
            rig.log("worker " + old + " begins " + requestId + " and crashes with " + active + " other runs");
            lostRuns.addAndGet(active);
            active = 0;
            server.close();
            for (Socket socket : sockets) socket.close();
            sockets.clear();
            Http.daemon(() -> {
                Thread.sleep(DOWN_MILLIS);
                start();
                Thread.sleep(3 * HEARTBEAT_MILLIS - DOWN_MILLIS);
                store.remove("servers/" + old);
            });
        }
    }

    private record Crash(long at, String requestId, String worker) {
    }

    private static final List<Crash> crashes = new ArrayList<>();
    private static final AtomicInteger lostRuns = new AtomicInteger();
    private static final AtomicInteger lostBookings = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Rig rig = new Rig(args[0])) {
            code = run(rig);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** The target of look-up [number]; with PLAIN_PATH=1 the day stands in the path, to show what the fault depends on. */
    private static String target(String day) {
        return "1".equals(System.getenv("PLAIN_PATH")) ? "/look/slots/" + day : "/look/slots?" + day;
    }

    private static int run(Rig rig) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("op/config", Rig.config(3, List.of(Rig.route("/look/", "idempotent", "desk", 2, 4_000),
            Rig.route("/book/", "non_idempotent", "desk", 1, 4_000)),
            List.of(Json.of("name", "desk", "slots", 6, "max_connections", 96))));
        for (int i = 1; i <= WORKERS; i++) new Place(rig, store, i);
        String[] contracts = {"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants",
            "quota", "platform"};
        Rig.Node[] gateways = {
            rig.startGateway("edge-1", "127.0.1.1", store.address(), 7600, contracts),
            rig.startGateway("edge-2", "127.0.1.2", store.address(), 7600, contracts)};
        for (Rig.Node gateway : gateways) rig.awaitReady(gateway);
        Thread.sleep(1_000);

        long begin = rig.now();
        TreeMap<Integer, Map<String, Integer>> answers = new TreeMap<>();
        Http.daemon(() -> {
            for (int i = 0; ; i++) {
                String id = "sound-" + i;
                String day = "day=" + (1 + i % 9);
                Rig.Node gateway = gateways[i % 2];
                Http.daemon(() -> {
                    int second = (int) ((rig.now() - begin) / 1_000);
                    String answer = call(rig, gateway, "GET", id, target(day), false);
                    synchronized (answers) {
                        answers.computeIfAbsent(second, k -> new TreeMap<>()).merge(answer, 1, Integer::sum);
                    }
                });
                Thread.sleep(100);
            }
        });
        Http.daemon(() -> {
            for (int i = 0; ; i++) {
                String id = "book-" + i;
                Rig.Node gateway = gateways[i % 2];
                Http.daemon(() -> {
                    String answer = call(rig, gateway, "POST", id, "/book/lesson", false);
                    if (answer.equals("200")) return;
                    lostBookings.incrementAndGet();
                    rig.log("booking " + id + " ended with " + answer);
                });
                Thread.sleep(150);
            }
        });
        Thread.sleep(10_000);
        if (rig.hasTrouble) sendHarmful(rig, gateways);
        else Thread.sleep(25_000);
        synchronized (answers) {
            answers.forEach((second, counts) -> rig.log("second " + second + ", sound requests: " + counts));
        }
        return judge(rig);
    }

    /** The request comes again each second, at either gateway. */
    private static void sendHarmful(Rig rig, Rig.Node[] gateways) throws Exception {
        for (int i = 0; i < 25; i++) {
            String id = "harmful-" + i;
            Rig.Node gateway = gateways[i % 2];
            Http.daemon(() -> call(rig, gateway, "GET", id, target(HARMFUL), true));
            Thread.sleep(1_000);
        }
    }

    private static int judge(Rig rig) {
        synchronized (crashes) {
            long third = crashes.size() < 3 ? Long.MAX_VALUE : crashes.get(2).at;
            long after = crashes.stream().filter(c -> c.at > third + CONTACT_MILLIS).map(Crash::requestId).distinct().count();
            String reason = crashes.size() + " crashes, " + lostRuns + " other runs lost with them, " + lostBookings
                + " bookings without a success; " + after
                + " repeats reached workers later than contact_ms after the third crash";
            return rig.verdict(after > 3, reason);
        }
    }

    private static String call(Rig rig, Rig.Node gateway, String method, String id, String target, boolean isLogged) {
        String answer;
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(4_000);
            socket.getOutputStream().write(Rig.request(method, target, id, 4_000, "", new byte[0]));
            Http.Message message = Http.read(socket.getInputStream());
            answer = message == null ? "closed" : Integer.toString(message.status());
            if (isLogged && message != null) {
                String text = message.text().replaceAll("\\s+", " ");
                rig.log(id + ": " + answer + " Retry-After " + message.field("Retry-After") + " " + text.substring(0, Math.min(160, text.length())));
            }
        } catch (IOException e) {
            answer = "error " + e.getMessage();
        }
        return answer;
    }
}
