import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the project's processes, started with the commands of its deploy file and settings
 * like those that its templates give, and a record of what happens. Run in the repository's root.
 */
final class Rig implements AutoCloseable {
    static final String HOST = "site.example";
    static final String KEY = "key-of-club";

    /** Whether the disruption takes place. */
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final Path directory;
    private final List<Process> processes = new ArrayList<>();

    Rig(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        directory = Files.createTempDirectory("ragwortbank-case");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        log("trouble: " + (hasTrouble ? "yes" : "no"));
    }

    /** Milliseconds since the start. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void log(String line) {
        record.println(String.format("%6d ms  %s", now(), line));
    }

    /** Ends with the verdict: 1 if the rule was broken, 0 if it held. */
    int verdict(boolean isBroken, String reason) {
        log((isBroken ? "BROKEN: " : "held: ") + reason);
        System.out.println((isBroken ? "broken: " : "held: ") + reason);
        return isBroken ? 1 : 0;
    }

    /** A process of the project and the addresses in its settings. */
    record Node(String name, Process process, String host, int httpPort, int readyPort, int adminPort, Path log) {
        long pid() {
            return process.pid();
        }

        /** An open connection to its callers' port. */
        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, httpPort), 1_000);
            return socket;
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host, readyPort), 200);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
                return Http.read(socket.getInputStream()).status() == 200;
            } catch (IOException | NullPointerException e) {
                return false;
            }
        }
    }

    /** Starts the role gateway of the deploy file on [host]; [features] are the contracts in force. */
    Node startGateway(String name, String host, String storeAddress, int placerPort, String... features) throws Exception {
        int http = freePort(host);
        int ready = freePort(host);
        int admin = freePort(host);
        int digest = freeDatagramPort(host);
        StringBuilder settings = new StringBuilder();
        settings.append("name = \"").append(name).append("\"\ndomain = \"zone-a\"\n");
        settings.append("http_address = \"").append(host).append(':').append(http).append("\"\n");
        settings.append("ready_address = \"").append(host).append(':').append(ready).append("\"\n");
        settings.append("admin_address = \"").append(host).append(':').append(admin).append("\"\n");
        settings.append("digest_address = \"").append(host).append(':').append(digest).append("\"\n");
        settings.append("placer_port = ").append(placerPort).append("\nstore_address = \"").append(storeAddress).append("\"\n");
        settings.append("first_start = true\n\n[bounds]\nkey_withdrawal = \"5000ms\"\nadapter_version = \"5000ms\"\n");
        settings.append("stop_grace = \"8s\"\nconfiguration = \"2000ms\"\nleaving_upstream = \"2000ms\"\nretry_slack = 52\n");
        settings.append("rate_window = \"8s\"\nrate_overage = 0.1\nrate_slack = 17000\n\n[limits]\nmemory = \"430MB\"\n\n[features]\n");
        for (String feature : features) settings.append(feature).append(" = true\n");
        settings.append("\n[regions]\n\"zone-a\" = \"south\"\n");
        return start("gateway", name, settings.toString(), host, http, ready, admin);
    }

    /** Starts the role placer of the deploy file on [host], beside the worker at [engineAddress]. */
    Node startPlacer(String name, String host, int digestPort, String engineAddress) throws Exception {
        int admin = freePort(host);
        String settings = "name = \"" + name + "\"\nadmin_address = \"" + host + ":" + admin + "\"\ndigest_address = \""
            + host + ":" + digestPort + "\"\nengine_address = \"" + engineAddress + "\"\n";
        return start("placer", name, settings, host, 0, 0, admin);
    }

    private Node start(String role, String name, String settings, String host, int http, int ready, int admin) throws Exception {
        Path file = directory.resolve(name + ".toml");
        Files.writeString(file, settings);
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) throw new IOException("no command of role " + role + " in deploy/system.toml");
        List<String> command = Stream.of(run.group(1).split(" "))
            .map(word -> word.equals("/etc/ragwortbank/settings.toml") ? file.toString() : word)
            .toList();
        Path log = directory.resolve(name + ".log");
        Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
        processes.add(process);
        log(role + " " + name + " started, pid " + process.pid());
        return new Node(name, process, host, http, ready, admin, log);
    }

    /** Waits until [gateway] says that it is ready; exits with 2 if that takes too long. */
    void awaitReady(Node gateway) throws InterruptedException {
        for (int i = 0; i < 300 && !gateway.isReady(); i++) Thread.sleep(50);
        if (!gateway.isReady()) throw new IllegalStateException(gateway.name + " did not become ready");
        log(gateway.name + " is ready");
    }

    void signal(Node node, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(node.pid())).start().waitFor();
        log("SIG" + name + " to " + node.name);
    }

    /** Copies the lines of the log of [node] that contain [text] into the record. */
    void logLines(Node node, String text, int most) throws IOException {
        try (Stream<String> lines = Files.lines(node.log)) {
            lines.filter(l -> l.contains(text)).limit(most).forEach(l -> log("  log of " + node.name + ": " + l));
        }
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    static int freeDatagramPort(String host) throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** The head of a request through a gateway; [fields] end with line ends. */
    static byte[] request(String method, String path, String id, long deadlineMillis, String fields, byte[] body) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
            + deadlineMillis + "\r\nAuthorization: Bearer " + KEY + "\r\n" + fields
            + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    /** A route of the configuration. */
    static Map<String, Object> route(String prefix, String type, String service, int maxAttempts, long timeoutMillis) {
        return Json.of("name", prefix, "host", HOST, "prefix", prefix, "route_type", type, "service", service, "max_attempts",
            maxAttempts, "timeout_ms", timeoutMillis, "target_latency_ms", 386, "priority", 0);
    }

    /** A route of streams, with the objectives of the sheet's chats. */
    static Map<String, Object> streamRoute(String prefix, String service, long timeoutMillis) {
        Map<String, Object> route = route(prefix, "streaming", service, 1, timeoutMillis);
        route.put("target_latency_ms", 500);
        route.put("gap_target_ms", 300);
        route.put("resumable", false);
        return route;
    }

    /** A configuration with one tenant. */
    static String config(long version, List<Object> routes, List<Object> services) {
        return Json.write(Json.of("version", version, "routes", routes, "services", services,
            "tenants", List.of(Json.of("name", "club", "api_keys", List.of(KEY), "rate_per_s", 1_000_000, "burst", 1_000_000,
                "plain_tokens", 200)),
            "limits", Json.of("max_header_bytes", 16384, "max_body_bytes", 4_194_304, "header_timeout_ms", 3000,
                "idle_timeout_ms", 9000)));
    }

    /** The entry of a worker in the store. */
    static String worker(String service, String address, int slots, long born, List<Object> models) {
        return Json.write(Json.of("service", service, "address", address, "zone", "zone-a", "version", "1", "slots", slots,
            "state", "ready", "cold_remaining_ms", 0, "sequence", 0, "born", born, "models", models, "stage", "combined"));
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            process.destroyForcibly();
            process.onExit().join();
        }
        log("all processes ended");
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs: " + directory);
            return;
        }
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
