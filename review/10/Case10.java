import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A prompt part crashes each worker that begins to write an answer: while it writes the head of the answer. */
public final class Case10 {
    private static final int ENGINES = 4;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long SOUND_INTERVAL_MILLIS = 125;
    private static final int HARMFUL_PER_SECOND = 1;
    private static final int TROUBLE_SECONDS = 25;
    /** The gap after which a client leaves a stream: eight times the pause that the route allows. */
    private static final int GAP_MILLIS = 2_400;
    private static final String HARMFUL_PART = "bad0bad0";
    private static final String OTHER_PART = "5c1e07a2";
    private static final String SHARED_PART = "91bd3f06";
    /** The status line and the beginning of the fields; with WHOLE_HEAD=1 all of the head. */
    private static final int ANSWERED_BYTES = "1".equals(System.getenv("WHOLE_HEAD")) ? 10_000 : 40;

    /** A sound request, and how its only attempt ended. */
    private record Outcome(long sentAt, boolean hasBegun, String end) {
    }

    private static final List<Outcome> outcomes = new ArrayList<>();

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Rig rig = new Rig(args[0])) {
            code = run(rig);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Rig rig) throws Exception {
        Store store = new Store("127.0.0.1");
        Map<String, Object> model = Json.of("name", Engine.MODEL, "weights_mb", 34_300, "load_s", 0.5, "adapters", 0, "adapter_mb", 66);
        Map<String, Object> spec = Json.of("models", List.of(model), "weights_mb", 36_000, "adapter_slots", 21, "kv_capacity", 150_000);
        store.put("op/config", Rig.config(3, List.of(Rig.streamRoute("/chat/", "engines", 12_000)),
            List.of(Json.of("name", "engines", "slots", 64, "engine", spec))));
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            engines.add(new Engine(rig, store, i, request -> request.field("X-Prompt-Prefix").contains(HARMFUL_PART),
                ANSWERED_BYTES));
        }
        int placerPort = Rig.freeDatagramPort("127.0.2.1");
        for (Engine engine : engines) rig.startPlacer("side-" + engine.host(), engine.host(), placerPort, engine.address());
        String[] contracts = {"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants",
            "quota", "platform"};
        Rig.Node[] gateways = {
            rig.startGateway("edge-1", "127.0.1.1", store.address(), placerPort, contracts),
            rig.startGateway("edge-2", "127.0.1.2", store.address(), placerPort, contracts)};
        for (Rig.Node gateway : gateways) rig.awaitReady(gateway);
        Thread.sleep(2_000);

        Http.daemon(() -> sendSound(rig, gateways));
        Thread.sleep(8_000);
        long troubleAt = rig.now();
        for (int i = 0; i < TROUBLE_SECONDS * HARMFUL_PER_SECOND; i++) {
            String id = "harmful-" + i;
            Rig.Node gateway = gateways[i % 2];
            String parts = prompt(HARMFUL_PART, 0x7000 + i);
            boolean isLogged = i % HARMFUL_PER_SECOND == 0;
            if (rig.hasTrouble) Http.daemon(() -> {
                Outcome outcome = call(rig, gateway, id, parts);
                if (isLogged) rig.log(id + ": " + outcome.end);
            });
            Thread.sleep(1_000 / HARMFUL_PER_SECOND);
        }
        for (Rig.Node gateway : gateways) rig.logLines(gateway, "\"part\":\"crashes\"", 30);
        return judge(rig, troubleAt, rig.now() - 1_500);
    }

    private static void sendSound(Rig rig, Rig.Node[] gateways) throws InterruptedException {
        for (int i = 0; ; i++) {
            String id = "sound-" + i;
            Rig.Node gateway = gateways[i % 2];
            String parts = prompt(OTHER_PART, 0x1000 + i);
            Http.daemon(() -> {
                Outcome outcome = call(rig, gateway, id, parts);
                synchronized (outcomes) {
                    outcomes.add(outcome);
                }
            });
            Thread.sleep(SOUND_INTERVAL_MILLIS);
        }
    }

    /** A part that all prompts share, then [part], and a last one of the request's own. */
    private static String prompt(String part, int last) {
        return SHARED_PART + ":198," + part + ":400," + Integer.toHexString(last) + ":228";
    }

    private static int judge(Rig rig, long troubleAt, long end) {
        TreeMap<Long, TreeMap<String, Integer>> seconds = new TreeMap<>();
        synchronized (outcomes) {
            outcomes.forEach(o -> seconds.computeIfAbsent((o.sentAt - troubleAt + 60_000) / 1_000 - 60, k -> new TreeMap<>()).merge(o.end, 1, Integer::sum));
        }
        seconds.forEach((second, ends) -> rig.log("sound requests sent in second " + second + " of the trouble: " + ends));
        synchronized (Engine.class) {
            int count = Engine.crashes.size();
            long fifth = count < 5 ? Long.MAX_VALUE - CONTACT_MILLIS : Engine.crashes.get(4).at();
            long after = Engine.arrivals.entrySet().stream()
                .filter(e -> e.getKey().startsWith("harmful") && e.getValue() > fifth + CONTACT_MILLIS)
                .count();
            int lost = Engine.crashes.stream().mapToInt(Engine.Crash::lost).sum();
            return rig.verdict(after > 3, count + " crashes, " + lost + " other runs lost with them; " + after
                + " requests with the part reached workers later than contact_ms after the fifth crash");
        }
    }

    private static boolean readRest(InputStream in) {
        try {
            Http.readChunks(in);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static Outcome call(Rig rig, Rig.Node gateway, String id, String parts) {
        long sentAt = rig.now();
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(GAP_MILLIS);
            String fields = "X-Model: " + Engine.MODEL + "\r\nX-Token-Usage: 826,120\r\nX-Prompt-Prefix: " + parts + "\r\n";
            socket.getOutputStream().write(Rig.request("POST", "/chat/x", id, 12_000, fields, ("{\"prompt\":\"of " + id + "\"}").getBytes()));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = Http.readLine(in);
            if (line == null) return new Outcome(sentAt, false, "closed");
            Map<String, String> head = Http.readFields(in);
            if (!line.contains(" 200")) {
                String body = new String(in.readNBytes(Integer.parseInt(head.getOrDefault("content-length", "0"))));
                String type = body.replaceAll("(?s).*\"type\":\"([^\"]*)\".*", "$1");
                return new Outcome(sentAt, false, line.split(" ")[1] + " " + type);
            }
            String firstSize = Http.readLine(in);
            if (firstSize == null) return new Outcome(sentAt, false, "200, closed before the first event");
            in.readNBytes(Integer.parseInt(firstSize, 16) + 2);
            return new Outcome(sentAt, true, readRest(in) ? "complete" : "broken off");
        } catch (IOException e) {
            return new Outcome(sentAt, false, "error " + e.getMessage());
        }
    }
}
