import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the scripts share: the record, free ports, settings filled from the templates, and the programs' processes. */
final class Lab {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final long START = System.nanoTime();
    private static final List<Process> processes = new ArrayList<>();
    private static PrintWriter record;
    private static Path folder;

    static void open(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("review-");
        Runtime.getRuntime().addShutdownHook(new Thread(Lab::endProcesses));
        note("disruption: " + TROUBLE);
    }

    /** Milliseconds since the start of the script. */
    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void note(String text) {
        record.printf("%9.3f %s%n", millis() / 1000.0, text);
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(null, action, "lab", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the script: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
    static void end(int code, String text) {
        note(text);
        System.out.println(text);
        endProcesses();
        System.exit(code);
    }

    /** A port of [host] that is free for TCP and UDP. */
    static int freePort(String host) throws IOException {
        while (true) {
            try (ServerSocket tcp = new ServerSocket()) {
                tcp.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
                try (DatagramSocket udp = new DatagramSocket(new InetSocketAddress(host, tcp.getLocalPort()))) {
                    return tcp.getLocalPort();
                } catch (IOException taken) {
                    // Another one is tried.
                }
            }
        }
    }

    /** A gateway on a machine with the loopback address [host]. */
    static final class Gateway {
        final String name;
        final String host;
        final int port;
        final int ready;
        Process process;

        private final Path settings;

        Gateway(String name, String host, String store, int digestPort) throws IOException {
            this.name = name;
            this.host = host;
            port = freePort(host);
            ready = freePort(host);
            int admin = freePort(host);
            settings = folder.resolve(name + ".toml");
            Map<String, Object> values = Map.ofEntries(
                Map.entry("node_name", name), Map.entry("zone", "zone-a"), Map.entry("ip", host),
                Map.entry("is_first_start", "true"),
                Map.entry("listeners_map", Map.of("frontend", host + ":" + port, "ready", host + ":" + ready)),
                Map.entry("internal_ports", List.of(digestPort, admin)),
                Map.entry("platform", Map.of("address", store)),
                Map.entry("bounds", BOUNDS), Map.entry("limits", Map.of("memory_mb", 430)),
                Map.entry("contracts", CONTRACTS), Map.entry("zones", Map.of("zone-a", "region-a")));
            String template = Files.readString(Path.of("deploy/gateway.toml"));
            Files.writeString(settings, fill(template, values, null, null));
            start();
        }

        /** Starts the process with the command of the deploy file. */
        void start() throws IOException {
            String command = commandOf("gateway").replace("/etc/ragwortbank/settings.toml", settings.toString());
            process = new ProcessBuilder(command.split(" "))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
                .start();
            synchronized (processes) {
                processes.add(process);
            }
            note(name + " started, process " + process.pid());
        }

        Wire connect() throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(host, port), 1000);
            return new Wire(socket);
        }

        /** Waits until it answers that it is ready. */
        void awaitReady() throws IOException {
            for (int i = 0; i < 200; i++) {
                try (Wire wire = new Wire(new Socket(host, ready))) {
                    wire.socket.setSoTimeout(1000);
                    wire.write("GET /ready HTTP/1.1\r\nHost: " + host + "\r\n\r\n");
                    if (wire.readHead().status() == 200) return;
                } catch (IOException | RuntimeException notYet) {
                    // It is asked again.
                }
                sleep(100);
            }
            end(2, name + " did not become ready");
        }

        List<String> log() throws IOException {
            return Files.readAllLines(folder.resolve(name + ".log"));
        }
    }

    /** Starts the placer on the machine [host], beside the worker at [app]. */
    static void startPlacer(String name, String host, int digestPort, String app) throws IOException {
        Path settings = folder.resolve(name + ".toml");
        Map<String, Object> values = Map.of(
            "node_name", name, "ip", host, "app", app, "internal_ports", List.of(digestPort, freePort(host)));
        Files.writeString(settings, fill(Files.readString(Path.of("deploy/placer.toml")), values, null, null));
        String command = commandOf("placer").replace("/etc/ragwortbank/settings.toml", settings.toString());
        Process process = new ProcessBuilder(command.split(" "))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
            .start();
        synchronized (processes) {
            processes.add(process);
        }
        note(name + " started, process " + process.pid());
    }

    static final Map<String, Object> BOUNDS = Map.ofEntries(
        Map.entry("revoke_ms", 5000), Map.entry("version_ms", 5000), Map.entry("grace_s", 8),
        Map.entry("config_apply_ms", 2000), Map.entry("drain_ms", 2000), Map.entry("retry_budget_ratio", 0.2),
        Map.entry("retry_slack", 52), Map.entry("quota_window_s", 8), Map.entry("quota_overage", 0.1),
        Map.entry("quota_slack", 17000));

    static final List<String> CONTRACTS = List.of(
        "base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota",
        "platform");

    private static String commandOf(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"").matcher(text);
        if (!run.find()) throw new IOException("no command of " + role);
        return run.group(1);
    }

    /** Fills in a template of the deploy file, by the rules of DEPLOY.md that its templates use. */
    private static String fill(String template, Map<String, Object> values, Object current, String key) {
        Matcher section = Pattern.compile("\\{\\{([#^])([^}]+)}}\\n?(.*?)\\{\\{/\\2}}", Pattern.DOTALL).matcher(template);
        if (section.find()) {
            StringBuilder inner = new StringBuilder();
            Object value = look(values, section.group(2));
            if (section.group(1).equals("#")) {
                if (value instanceof Map<?, ?> map) {
                    map.forEach((k, v) -> inner.append(fill(section.group(3), values, v, String.valueOf(k))));
                } else if (value instanceof List<?> list) {
                    list.forEach(v -> inner.append(fill(section.group(3), values, v, null)));
                } else if (value != null) {
                    inner.append(fill(section.group(3), values, value, null));
                }
            }
            String head = fill(template.substring(0, section.start()), values, current, key);
            return head + inner + fill(template.substring(section.end()), values, current, key);
        }
        Matcher field = Pattern.compile("\\{\\{([^}]+)}}").matcher(template);
        return field.replaceAll(found -> {
            String name = found.group(1);
            Object value = name.equals(".") ? current : name.equals("@") ? key : look(values, name);
            return Matcher.quoteReplacement(value == null ? "" : String.valueOf(value));
        });
    }

    private static Object look(Object value, String path) {
        for (String part : path.split("\\.")) {
            if (value instanceof Map<?, ?> map) value = map.get(part);
            else if (value instanceof List<?> list) value = list.get(Integer.parseInt(part));
            else return null;
        }
        return value;
    }

    private static void endProcesses() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (var files = Files.list(folder)) {
            if (System.getenv("KEEP") == null) {
                for (Path file : files.toList()) Files.deleteIfExists(file);
                Files.deleteIfExists(folder);
            } else {
                System.out.println("logs in " + folder);
            }
        } catch (IOException ignored) {
            // The temporary folder stays.
        }
    }
}
