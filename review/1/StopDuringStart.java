import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.util.*;
import java.util.concurrent.*;

/** A gateway that was just started again gets a SIGTERM while it starts, after clients have sent it requests. */
final class StopDuringStart {
    static final int ROUNDS = 8, LOSS_SLACK_MS = 200, STOP_AFTER_OPEN_MS = 230;
    static final String KEY = "member-key";
    static int lost, answered;

    public static void main(String[] args) {
        Lab.main(args[0], () -> { play(); return null; });
    }

    static void play() throws Exception {
        Lab.Store store = new Lab.Store("127.0.0.1");
        store.put("op/config", "{\"version\":1,\"routes\":["
            + "{\"name\":\"book\",\"host\":\"site.example\",\"prefix\":\"/book/\",\"route_type\":\"non_idempotent\","
            + "\"service\":\"desk\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"max_attempts\":1,\"priority\":2}],"
            + "\"services\":[{\"name\":\"desk\"}],\"tenants\":[{\"name\":\"club\",\"api_keys\":[\"" + KEY + "\"],"
            + "\"rate_per_s\":100000,\"burst\":100000,\"plain_tokens\":200}],\"limits\":{\"idle_timeout_ms\":9000}}");
        new Lab.Worker("i-desk", "desk", "127.0.0.21", 6, store);
        for (int i = 1; i <= ROUNDS; i++) round(i, store);
        Lab.finish(lost > 0 ? 1 : 0, lost + " requests got no answer, their connection ended later than " + LOSS_SLACK_MS
            + " ms after their last byte was sent; " + answered + " were answered");
    }

    static void round(int number, Lab.Store store) throws Exception {
        Lab.Gateway gateway = new Lab.Gateway("edge-" + number, "127.0.0.11", store);
        long openAt = awaitOpen(gateway);
        Lab.say("round " + number + ": the gateway's port is open");
        List<Future<?>> requests = new ArrayList<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int i = 0; i < 5; i++) requests.add(clients.submit(() -> send(gateway)));
        if (Lab.TROUBLE) {
            Lab.sleep(openAt + STOP_AFTER_OPEN_MS - Lab.now());
            Lab.say("round " + number + ": SIGTERM");
            gateway.process.destroy();
        }
        for (Future<?> request : requests) request.get();
        clients.shutdown();
        if (!Lab.TROUBLE) gateway.process.destroy();
        if (!gateway.process.waitFor(9, TimeUnit.SECONDS)) gateway.process.destroyForcibly();
        Lab.say("round " + number + ": the process has ended with " + gateway.process.waitFor());
    }

    static long awaitOpen(Lab.Gateway gateway) throws IOException {
        while (true) {
            if (!gateway.process.isAlive()) throw new IOException("the gateway has ended");
            try (Socket s = new Socket()) {
                s.connect(Lab.address(gateway.address), 50);
                return Lab.now();
            } catch (IOException notYet) {
                Lab.sleep(2);
            }
        }
    }

    static void send(Lab.Gateway gateway) {
        String id = Lab.newId();
        try (Socket s = new Socket()) {
            s.connect(Lab.address(gateway.address), 1000);
            s.setSoTimeout(8_000);
            Lab.Message.write(s.getOutputStream(), "POST /book/lesson HTTP/1.1", Map.of("Host", "site.example",
                "X-Request-Id", id, "X-Deadline-Ms", "4000", "Authorization", "Bearer " + KEY), new byte[] {'{', '}'});
            long sentAt = Lab.now();
            Lab.say("request " + id + " is sent");
            String end;
            boolean isAnswered = false;
            try {
                Lab.Message answer = Lab.Message.read(s.getInputStream(), true);
                if (answer == null) throw new EOFException("closed");
                isAnswered = true;
                end = "answered " + answer.status;
            } catch (IOException e) {
                end = "no answer: " + e.getMessage();
            }
            long took = Lab.now() - sentAt;
            Lab.say("request " + id + ": " + end + " after " + took + " ms");
            synchronized (StopDuringStart.class) {
                if (isAnswered) answered++; else if (took > LOSS_SLACK_MS) lost++;
            }
        } catch (IOException e) {
            Lab.say("request " + id + " was not sent: " + e.getMessage());
        }
    }
}
