import java.io.IOException;
import java.util.*;
import java.util.concurrent.*;

/**
 * The first part of some prompts crashes each engine that begins to write an answer on it. Session after session, two
 * seconds after a sound request, sends three requests with it, no two alike. Sound traffic with the same key goes on beside, and
 * each session, these too, has a sound request every 30 seconds.
 */
final class DeadlySystemPrompt {
    static final int CONTACT_MS = 3_000, BACK_MS = 5_000, REPEAT_MS = 3_000, PER_SESSION = 3, SESSIONS = 6, ALLOWED = 3;
    static final int ENGINES = 8, SOUND_SESSIONS = 360;
    /** Sound requests since that of a session which then sends deadly ones: about two seconds. */
    static final int SOUND_AGO = 24;
    static final String KEY = "member-key", DEADLY = "dead0001", SOUND = "50f70001";
    static final List<Long> crashes = new CopyOnWriteArrayList<>();
    static final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    static final List<Long> arrivalsSentAt = new CopyOnWriteArrayList<>();
    static volatile int lastSoundSession;
    static int soundServed, soundRefused, soundOther;

    static final class Engine extends Lab.Engine {
        Engine(int number, Lab.Store store) throws IOException {
            super(number, 60, BACK_MS, store);
        }

        @Override boolean crashesOf(Lab.Message m) {
            if (!m.headers.get("X-Prompt-Prefix").startsWith(DEADLY)) return false;
            String request = m.headers.get("X-Request-Id");
            arrivalsSentAt.add(sentAt.get(request));
            if (!Lab.TROUBLE) return false;
            crashes.add(Lab.now());
            Lab.say("engine " + id + " begins to write an answer to " + request + " and crashes (crash " + crashes.size()
                + ")");
            return true;
        }
    }

    public static void main(String[] args) {
        Lab.main(args[0], () -> { play(); return null; });
    }

    static String session(int number) { return String.format("5e55%04x", number); }

    static void play() throws Exception {
        Lab.Store store = new Lab.Store("127.0.0.1");
        store.put("op/config", Lab.engineConfig(KEY));
        for (int i = 1; i <= ENGINES; i++) new Engine(i, store);
        List<Lab.Gateway> gateways = List.of(
            new Lab.Gateway("edge-1", "127.0.0.11", store), new Lab.Gateway("edge-2", "127.0.0.12", store));
        for (Lab.Gateway g : gateways) g.awaitReady();
        Lab.say("gateways are ready");
        Lab.daemon(() -> soundTraffic(gateways));
        Lab.sleep(12_000);
        String session = "";
        for (int i = 0; i < SESSIONS * PER_SESSION; i++) {
            if (i % PER_SESSION == 0) session = session((lastSoundSession + SOUND_SESSIONS - SOUND_AGO) % SOUND_SESSIONS);
            String sameSession = session;
            Lab.Gateway gateway = gateways.get(i % 2);
            Lab.daemon(() -> send(gateway, DEADLY, sameSession, true));
            Lab.sleep(REPEAT_MS);
        }
        judge();
    }

    /** Twelve sound requests a second, of one session after the other. */
    static void soundTraffic(List<Lab.Gateway> gateways) {
        for (int i = 0; ; i++) {
            Lab.Gateway gateway = gateways.get(i % 2);
            lastSoundSession = i % SOUND_SESSIONS;
            String session = session(lastSoundSession);
            Lab.daemon(() -> send(gateway, SOUND, session, false));
            Lab.sleep(83);
        }
    }

    static void send(Lab.Gateway gateway, String first, String session, boolean isDeadly) {
        String id = Lab.newId();
        sentAt.put(id, Lab.now());
        if (isDeadly) Lab.say("request " + id + " of session " + session + " with the deadly part comes to " + gateway.name);
        String outcome;
        int status = 0;
        try {
            Lab.Message answer = Lab.Client.call(gateway.address, "POST", "/chat/x", Map.of("Host", "site.example",
                "X-Request-Id", id, "X-Deadline-Ms", "12000", "Authorization", "Bearer " + KEY, "X-Model", Engine.MODEL,
                "X-Token-Usage", "300,40", "X-Prompt-Prefix", first + ":120," + session + ":80," + id.substring(8) + ":100"),
                "{\"prompt\":\"" + id + "\"}", 12_000);
            status = answer.status;
            outcome = "answered " + status;
        } catch (IOException e) {
            outcome = "no answer: " + e.getMessage();
        }
        if (isDeadly) {
            Lab.say("request " + id + ": " + outcome);
        } else synchronized (DeadlySystemPrompt.class) {
            if (status == 200) soundServed++; else if (status == 503) soundRefused++; else soundOther++;
            if (status != 200) Lab.say("sound request " + id + " of session " + session + ": " + outcome);
        }
    }

    static void judge() {
        Lab.say("crashes: " + crashes.size() + ", sound requests answered 200: " + soundServed + ", 503: " + soundRefused
            + ", otherwise: " + soundOther);
        if (crashes.size() < 5) Lab.finish(0, "there were " + crashes.size() + " crashes");
        long from = crashes.get(4) + CONTACT_MS;
        long late = arrivalsSentAt.stream().filter(at -> at > from).count();
        Lab.finish(late > ALLOWED ? 1 : 0, late + " requests with the deadly part, sent later than " + CONTACT_MS
            + " ms after the fifth crash, reached engines; allowed are " + ALLOWED);
    }
}
