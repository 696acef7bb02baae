import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Stand-ins of the platform's store, of workers and of clients, and the start of gateways; shared by the cases. */
final class Lab {
    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static PrintWriter record;
    private static final List<Process> processes = new CopyOnWriteArrayList<>();
    private static final List<Path> folders = new CopyOnWriteArrayList<>();

    private Lab() {}

    /** Milliseconds since the start of the case. */
    static long now() { return (System.nanoTime() - START) / 1_000_000; }

    static void sleep(long ms) {
        try { Thread.sleep(Math.max(0, ms)); } catch (InterruptedException e) { throw new RuntimeException(e); }
    }

    static void openRecord(String file) throws IOException {
        record = new PrintWriter(new BufferedWriter(new FileWriter(file)));
        Runtime.getRuntime().addShutdownHook(new Thread(Lab::endAll));
    }

    static synchronized void say(String text) {
        record.printf("%8.3f s  %s%n", now() / 1000.0, text);
        record.flush();
    }

    /** Writes the verdict and ends the case: 1 the rule was broken, 0 it held, 2 the case could not run. */
    static void finish(int code, String text) {
        say("RESULT " + code + ": " + text);
        System.out.println("RESULT " + code + ": " + text);
        endAll();
        Runtime.getRuntime().halt(code);
    }

    private static void endAll() {
        for (Process p : processes) p.destroyForcibly();
        for (Process p : processes) {
            try { p.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException ignored) { return; }
        }
        for (Path folder : folders) {
            File[] files = folder.toFile().listFiles();
            if (files != null) for (File f : files) f.delete();
            folder.toFile().delete();
        }
    }

    /** Runs [body]; an error in it means that the case could not run. */
    static void main(String file, Callable<Void> body) {
        try {
            openRecord(file);
            body.call();
        } catch (Throwable e) {
            e.printStackTrace();
            finish(2, "the case could not run: " + e);
        }
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(host))) { return s.getLocalPort(); }
    }

    /** Starts a role with its command of deploy/system.toml; only the path of the settings file is another. */
    static Process startRole(String role, String settings) throws IOException {
        String toml = Files.readString(Path.of("deploy/system.toml"));
        int section = toml.indexOf("[roles." + role + "]");
        int from = toml.indexOf("run = \"", section) + 7;
        String command = toml.substring(from, toml.indexOf('"', from));
        Path folder = Files.createTempDirectory("review");
        folders.add(folder);
        Path file = folder.resolve("settings.toml");
        Files.writeString(file, settings);
        List<String> words = new ArrayList<>(List.of(command.split(" ")));
        words.set(words.size() - 1, file.toString());
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve("log").toFile());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    /** A gateway with settings as the template deploy/gateway.toml gives them for the small sites. */
    static final class Gateway {
        final String name, host, address, ready;
        final Process process;

        Gateway(String name, String host, Store store) throws IOException {
            this.name = name;
            this.host = host;
            int front = freePort(host), readyPort = freePort(host), admin = freePort(host), digest = freePort(host);
            address = host + ":" + front;
            ready = host + ":" + readyPort;
            process = startRole("gateway", String.join("\n",
                "name = \"" + name + "\"", "domain = \"z\"",
                "http_address = \"" + address + "\"", "ready_address = \"" + ready + "\"",
                "admin_address = \"" + host + ":" + admin + "\"", "digest_address = \"" + host + ":" + digest + "\"",
                "placer_port = 7600", "store_address = \"" + store.address + "\"", "first_start = true",
                "[bounds]", "key_withdrawal = \"5000ms\"", "adapter_version = \"5000ms\"", "stop_grace = \"8s\"",
                "configuration = \"2000ms\"", "leaving_upstream = \"2000ms\"", "retry_slack = 52", ""));
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 400; i++) {
                if (!process.isAlive()) throw new IOException(name + " ended with " + process.exitValue());
                try {
                    if (Client.call(ready, "GET", "/ready", Map.of("Host", "ready"), "", 1000).status == 200) return;
                } catch (IOException ignored) { /* not up yet */ }
                sleep(100);
            }
            throw new IOException(name + " is not ready");
        }
    }

    /** An HTTP request or answer. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        int status;

        String method() { return first.split(" ")[0]; }
        String target() { return first.split(" ")[1]; }
        String text() { return new String(body, StandardCharsets.UTF_8); }

        /** Reads one message; null when the connection ends before it. */
        static Message read(InputStream in, boolean isAnswer) throws IOException {
            String line = line(in);
            if (line == null) return null;
            Message m = new Message();
            m.first = line;
            if (isAnswer) m.status = Integer.parseInt(line.split(" ")[1]);
            for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                int colon = h.indexOf(':');
                m.headers.put(h.substring(0, colon).trim(), h.substring(colon + 1).trim());
            }
            if ("chunked".equalsIgnoreCase(m.headers.get("Transfer-Encoding"))) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                while (true) {
                    String size = line(in);
                    if (size == null) throw new EOFException("the answer is cut");
                    int n = Integer.parseInt(size.trim(), 16);
                    byte[] part = in.readNBytes(n);
                    if (part.length < n) throw new EOFException("the answer is cut");
                    all.write(part);
                    line(in);
                    if (n == 0) break;
                }
                m.body = all.toByteArray();
            } else {
                int n = Integer.parseInt(m.headers.getOrDefault("Content-Length", "0"));
                m.body = in.readNBytes(n);
                if (m.body.length < n) throw new EOFException("the message is cut");
            }
            return m;
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (int c = in.read(); ; c = in.read()) {
                if (c < 0) return out.size() == 0 ? null : out.toString(StandardCharsets.ISO_8859_1);
                if (c == '\n') break;
                if (c != '\r') out.write(c);
            }
            return out.toString(StandardCharsets.ISO_8859_1);
        }

        static void write(OutputStream out, String first, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(first).append("\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }
    }

    /** A client that opens a connection for each request. */
    static final class Client {
        static Message call(String address, String method, String path, Map<String, String> headers, String body,
                            int timeoutMs) throws IOException {
            try (Socket s = new Socket()) {
                s.connect(address(address), 1000);
                s.setSoTimeout(timeoutMs);
                Message.write(s.getOutputStream(), method + " " + path + " HTTP/1.1", headers,
                    body.getBytes(StandardCharsets.UTF_8));
                Message answer = Message.read(new BufferedInputStream(s.getInputStream()), true);
                if (answer == null) throw new EOFException("closed without an answer");
                return answer;
            }
        }
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** A server that handles each connection on a thread of its own. */
    abstract static class Server {
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private ServerSocket listener;

        void listen(String host, int port) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(host, port), 256);
            listener = socket;
            daemon(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket s = socket.accept();
                        s.setTcpNoDelay(true);
                        open.add(s);
                        daemon(() -> serve(s));
                    } catch (IOException e) { return; }
                }
            });
        }

        private void serve(Socket s) {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream());
                for (Message m = Message.read(in, false); m != null; m = Message.read(in, false)) {
                    handle(m, s.getOutputStream());
                }
            } catch (IOException ignored) { /* the peer left, or this server crashed */
            } finally { open.remove(s); }
        }

        /** Ends the server like a process that crashes: the listener is gone and all connections are reset. */
        void crash() {
            try { listener.close(); } catch (IOException ignored) { /* closed */ }
            for (Socket s : open) {
                try { s.setSoLinger(true, 0); s.close(); } catch (IOException ignored) { /* closed */ }
            }
            open.clear();
        }

        abstract void handle(Message m, OutputStream out) throws IOException;
    }

    static void daemon(Runnable body) {
        Thread t = new Thread(body);
        t.setDaemon(true);
        t.start();
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    /** The platform's metadata store: items, leases, watches and a history of 20 seconds. */
    static final class Store extends Server {
        private record Item(String key, String value, long revision, long created, long lease, long atMs) {}
        private static final long HISTORY_MS = 20_000;
        private static final int PAGE_ITEMS = 500;
        private static final int PAGE_BYTES = 1_048_576;

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final ArrayDeque<Item> history = new ArrayDeque<>();
        private final Map<Long, long[]> leases = new HashMap<>();
        private long revision = 1, compacted = 1, lastLease;
        final String address;

        Store(String host) throws IOException {
            int port = freePort(host);
            address = host + ":" + port;
            listen(host, port);
            daemon(() -> { while (true) { sleep(100); expire(); } });
        }

        /** A write of the operator or of a worker; returns the time of the acknowledgement. */
        synchronized long put(String key, String text) {
            write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
            return now();
        }

        synchronized void remove(String key) { if (items.containsKey(key)) write(key, null, 0); }

        private void write(String key, String value, long lease) {
            revision++;
            Item old = items.get(key);
            Item item = new Item(key, value, revision, old == null ? revision : old.created, lease, now());
            if (value == null) items.remove(key); else items.put(key, item);
            history.add(item);
            while (!history.isEmpty() && history.peek().atMs < now() - HISTORY_MS) compacted = history.poll().revision;
            notifyAll();
        }

        private synchronized void expire() {
            for (Long id : List.copyOf(leases.keySet())) if (leases.get(id)[1] < now()) end(id);
            while (!history.isEmpty() && history.peek().atMs < now() - HISTORY_MS) compacted = history.poll().revision;
        }

        private void end(long lease) {
            leases.remove(lease);
            for (Item i : List.copyOf(items.values())) if (i.lease == lease) write(i.key, null, 0);
        }

        @Override void handle(Message m, OutputStream out) throws IOException {
            sleep(4);
            String target = m.target();
            String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
            Map<String, String> query = query(target);
            String reply = null;
            int status = 200;
            synchronized (this) {
                if (path.equals("/-/kv-key")) {
                    Item i = items.get(query.getOrDefault("key", ""));
                    if (i == null) { status = 404; reply = "{}"; } else reply = json(i);
                } else if (path.equals("/-/kv-range")) {
                    reply = range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
                } else if (path.equals("/-/kv-watch")) {
                    String found = watch(query);
                    if (found == null) { status = 410; reply = "{}"; } else reply = found;
                } else if (path.equals("/-/kv-lease")) {
                    long ttl = Long.parseLong(m.text().replaceAll("\\D", ""));
                    leases.put(++lastLease, new long[] {ttl, now() + ttl});
                    reply = "{\"lease\":" + lastLease + ",\"ttl_ms\":" + ttl + "}";
                } else if (path.startsWith("/-/kv-keep/")) {
                    long[] lease = leases.get(Long.parseLong(path.substring(11)));
                    if (lease == null) { status = 404; reply = "{}"; }
                    else { lease[1] = now() + lease[0]; reply = "{\"ttl_ms\":" + lease[0] + "}"; }
                } else if (path.startsWith("/-/kv-lease-end/")) {
                    end(Long.parseLong(path.substring(16)));
                    reply = "{}";
                } else if (path.equals("/-/kv-txn")) {
                    reply = transact(m.text());
                    if (reply == null) { status = 404; reply = "{}"; }
                } else { status = 404; reply = "{}"; }
            }
            Message.write(out, "HTTP/1.1 " + status + " -", Map.of("Content-Type", "application/json"),
                reply.getBytes(StandardCharsets.UTF_8));
        }

        /** The gateways write with empty `expected`: all that is needed here. */
        private String transact(String body) {
            java.util.regex.Matcher w = java.util.regex.Pattern
                .compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)}").matcher(body);
            List<String[]> writes = new ArrayList<>();
            while (w.find()) writes.add(new String[] {w.group(1), w.group(2), w.group(3)});
            for (String[] x : writes) if (!x[2].equals("0") && !leases.containsKey(Long.parseLong(x[2]))) return null;
            for (String[] x : writes) write(x[0], x[1], Long.parseLong(x[2]));
            java.util.regex.Matcher d = java.util.regex.Pattern.compile("\"drop\":\\[([^]]*)]").matcher(body);
            if (d.find()) for (String key : d.group(1).split(",")) if (!key.isBlank()) remove(key.replace("\"", ""));
            return "{\"revision\":" + revision + "}";
        }

        private String range(String prefix, String after) {
            List<String> page = new ArrayList<>();
            int bytes = 0;
            boolean more = false;
            for (Item i : items.tailMap(after, false).values()) {
                if (!i.key.startsWith(prefix)) continue;
                if (page.size() >= PAGE_ITEMS || (bytes > 0 && bytes + i.value.length() > PAGE_BYTES)) { more = true; break; }
                page.add(json(i));
                bytes += i.value.length();
            }
            return "{\"items\":[" + String.join(",", page) + "],\"has_more\":" + more + ",\"at\":" + revision + "}";
        }

        private String watch(Map<String, String> query) {
            long after = Long.parseLong(query.get("after")), until = now() + Long.parseLong(query.get("wait_ms"));
            String prefix = query.getOrDefault("prefix", "");
            while (true) {
                if (after < compacted) return null;
                List<String> events = new ArrayList<>();
                for (Item i : history) if (i.revision > after && i.key.startsWith(prefix)) events.add(json(i));
                if (!events.isEmpty() || now() >= until) {
                    return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
                }
                try { wait(Math.max(1, until - now())); } catch (InterruptedException e) { throw new RuntimeException(e); }
            }
        }

        private static String json(Item i) {
            if (i.value == null) return "{\"key\":" + quote(i.key) + ",\"revision\":" + i.revision + ",\"deleted\":true}";
            return "{\"key\":" + quote(i.key) + ",\"value\":\"" + i.value + "\",\"revision\":" + i.revision
                + ",\"created\":" + i.created + ",\"lease\":" + i.lease + "}";
        }

        private static Map<String, String> query(String target) {
            Map<String, String> found = new HashMap<>();
            if (!target.contains("?")) return found;
            for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
                int eq = part.indexOf('=');
                if (eq > 0) found.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
            }
            return found;
        }
    }

    /** A worker of a plain service, which registers itself in the store and writes there every 1.2 seconds. */
    static class Worker extends Server {
        private static final long HEARTBEAT_MS = 1_200;
        final String name, service, host, address;
        final Store store;
        final int port, slots;
        /** Each start of the worker is a new incarnation with an ID of its own. */
        volatile String id;
        volatile long born;
        private volatile boolean isUp;
        private int starts;
        /** Time that a request takes. */
        int workMs = 85;
        private long sequence;
        private final Semaphore places;

        Worker(String name, String service, String host, int slots, Store store) throws IOException {
            this.name = name;
            this.service = service;
            this.host = host;
            this.store = store;
            this.slots = slots;
            places = new Semaphore(slots, true);
            port = freePort(host);
            address = host + ":" + port;
            start();
            daemon(() -> { while (true) { sleep(HEARTBEAT_MS); if (isUp) beat(); } });
        }

        void start() throws IOException {
            born = System.currentTimeMillis();
            id = name + "-" + (++starts);
            listen(host, port);
            isUp = true;
            beat();
        }

        /** Ends at once; its entry lapses after three heartbeat intervals. */
        void crashFor(long ms) {
            isUp = false;
            crash();
            String ended = id;
            daemon(() -> { sleep(3 * HEARTBEAT_MS); store.remove("servers/" + ended); });
            daemon(() -> {
                sleep(ms);
                try { start(); say("worker " + id + " is back"); } catch (IOException e) { say("worker " + id + ": " + e); }
            });
        }

        private void beat() {
            store.put("servers/" + id, "{\"service\":" + quote(service) + ",\"address\":" + quote(address)
                + ",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,"
                + description() + "\"sequence\":" + (++sequence) + ",\"born\":" + born + "}");
        }

        @Override void handle(Message m, OutputStream out) throws IOException {
            Map<String, String> headers = new LinkedHashMap<>();
            String requestId = m.headers.get("X-Request-Id");
            if (requestId != null) headers.put("X-Request-Id", requestId);
            if (m.target().equals("/healthz")) {
                headers.put("X-Instance-Id", id);
                Message.write(out, "HTTP/1.1 200 OK", headers, new byte[0]);
                return;
            }
            String expected = m.headers.get("X-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                headers.put("X-Not-Executed", "1");
                Message.write(out, "HTTP/1.1 421 Misdirected", headers, new byte[0]);
                return;
            }
            places.acquireUninterruptibly();
            try { run(m, headers, out); } finally { places.release(); }
        }

        /** What the worker says of itself besides, as JSON fields that end with a comma. */
        String description() { return ""; }

        /** Runs a request; [headers] are those of every answer to it. */
        void run(Message m, Map<String, String> headers, OutputStream out) throws IOException {
            sleep(85);
            succeed(m, headers, out);
        }

        void succeed(Message m, Map<String, String> headers, OutputStream out) throws IOException {
            headers.put("X-Server-Signature", id + "." + m.headers.get("X-Request-Id"));
            headers.put("X-Server-Load", (slots - places.availablePermits()) + ",0," + slots);
            headers.put("Keep-Alive", "timeout=10");
            Message.write(out, "HTTP/1.1 200 OK", headers, new byte[800]);
        }
    }

    /** A worker of a model service. It answers with a stream of eight events, or crashes as it begins to write one. */
    abstract static class Engine extends Worker {
        static final String MODEL = "m0";
        private final int prefillMs, downMs;

        Engine(int number, int prefillMs, int downMs, Store store) throws IOException {
            super("i-engine-" + number, "engines", "127.0.0." + (30 + number), 64, store);
            this.prefillMs = prefillMs;
            this.downMs = downMs;
        }

        /** Whether the engine crashes of [request]; called as it begins to write the answer. */
        abstract boolean crashesOf(Message request);

        @Override String description() {
            return "\"stage\":\"combined\",\"models\":[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}],";
        }

        @Override void run(Message m, Map<String, String> headers, OutputStream out) throws IOException {
            sleep(prefillMs);
            if (crashesOf(m)) {
                crashFor(downMs);
                throw new IOException("crashed");
            }
            headers.put("X-Server-Signature", id + "." + headers.get("X-Request-Id"));
            headers.put("X-Weight-Versions", "1");
            headers.put("Content-Type", "text/event-stream");
            headers.put("Transfer-Encoding", "chunked");
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 1; i <= 8; i++) {
                String event = "id: " + i + "\ndata: some tokens\n\n";
                String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
                out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                sleep(30);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    /** A configuration with a streaming route to engines and one key. */
    static String engineConfig(String key) {
        return "{\"version\":1,\"routes\":["
            + "{\"name\":\"chat\",\"host\":\"site.example\",\"prefix\":\"/chat/\",\"route_type\":\"streaming\","
            + "\"service\":\"engines\",\"timeout_ms\":12000,\"target_latency_ms\":500,\"gap_target_ms\":300,"
            + "\"max_attempts\":1,\"priority\":0,\"sticky\":true}],"
            + "\"services\":[{\"name\":\"engines\",\"engine\":{\"models\":[{\"name\":\"" + Engine.MODEL
            + "\",\"weights_mb\":72700,\"load_s\":2.9,\"adapters\":3000,\"adapter_mb\":66}],\"weights_mb\":75900,"
            + "\"adapter_slots\":26}}],\"tenants\":[{\"name\":\"club\",\"api_keys\":[\"" + key + "\"],"
            + "\"rate_per_s\":1000000,\"burst\":1000000,\"plain_tokens\":200}],\"limits\":{\"idle_timeout_ms\":9000}}";
    }

    static String newId() { return String.format("%016x", ThreadLocalRandom.current().nextLong()); }
}
