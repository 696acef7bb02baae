import java.io.IOException;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store: items with revisions, watches, transactions and leases that expire. */
final class Store {
    private record Item(String key, String value, long revision, long created, long lease) {
    }

    private record Lease(long ttlMillis, long endsAt) {
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 0;
    final ServerSocket server;

    Store(String host) throws IOException {
        server = Http.serve(host, 0, this::handle);
        Http.daemon(this::expireLeases);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Writes [text] to [key], as the operator and workers do; its return is the acknowledgement. */
    synchronized void put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        write(key, null, 0);
    }

    private void write(String key, String value, long lease) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created, lease);
        if (value == null) items.remove(key);
        else items.put(key, item);
        history.add(item);
        notifyAll();
    }

    private void expireLeases() throws InterruptedException {
        while (true) {
            Thread.sleep(20);
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                List<Long> ended = leases.entrySet().stream().filter(e -> e.getValue().endsAt < now).map(Map.Entry::getKey).toList();
                ended.forEach(this::endLease);
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = items.values().stream().filter(i -> i.lease == id).map(Item::key).toList();
        keys.forEach(key -> write(key, null, 0));
    }

    private boolean handle(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
        Thread.sleep(2);
        String target = request.target();
        String path = target.split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        Object[] answer;
        if (path.equals("/-/kv-range")) answer = range(query);
        else if (path.equals("/-/kv-key")) answer = item(query);
        else if (path.equals("/-/kv-watch")) answer = watch(query);
        else if (path.equals("/-/kv-txn")) answer = transact(Json.object(request.text()));
        else if (path.equals("/-/kv-lease")) answer = grant(Json.object(request.text()));
        else if (path.startsWith("/-/kv-keep/")) answer = keep(Long.parseLong(path.substring("/-/kv-keep/".length())));
        else if (path.startsWith("/-/kv-lease-end/")) answer = end(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
        else answer = new Object[] {404, Json.of()};
        connection.answer((int) answer[0], "Content-Type: application/json\r\n", Json.write(answer[1]));
        return true;
    }

    private static Map<String, Object> encode(Item item) {
        if (item.value == null) return Json.of("key", item.key, "revision", item.revision, "deleted", true);
        return Json.of("key", item.key, "value", item.value, "revision", item.revision, "created", item.created, "lease", item.lease);
    }

    private synchronized Object[] range(Map<String, String> query) {
        List<Item> found = items.values().stream()
            .filter(i -> i.key.startsWith(query.getOrDefault("prefix", "")) && i.key.compareTo(query.getOrDefault("after", "")) > 0)
            .toList();
        List<Object> page = new ArrayList<>();
        found.stream().limit(500).forEach(i -> page.add(encode(i)));
        return new Object[] {200, Json.of("items", page, "has_more", found.size() > 500, "at", revision)};
    }

    private synchronized Object[] item(Map<String, String> query) {
        Item item = items.get(query.get("key"));
        return item == null ? new Object[] {404, Json.of()} : new Object[] {200, encode(item)};
    }

    private synchronized Object[] watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("wait_ms"));
        while (true) {
            List<Object> events = new ArrayList<>();
            history.stream()
                .filter(i -> i.revision > after && i.key.startsWith(query.getOrDefault("prefix", "")))
                .forEach(i -> events.add(encode(i)));
            long left = end - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || left <= 0) return new Object[] {200, Json.of("events", events, "at", revision)};
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] transact(Map<String, Object> body) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("expected", List.of());
        for (Map<String, Object> row : expected) {
            Item item = items.get((String) row.get("key"));
            if ((item == null ? 0 : item.revision) != (Long) row.get("revision")) return new Object[] {412, Json.of("items", List.of())};
        }
        List<Map<String, Object>> writes = (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        for (Map<String, Object> row : writes) {
            Long lease = (Long) row.getOrDefault("lease", 0L);
            if (lease != null && lease != 0 && !leases.containsKey(lease)) return new Object[] {404, Json.of()};
        }
        for (Map<String, Object> row : writes) {
            Long lease = (Long) row.get("lease");
            write((String) row.get("key"), (String) row.get("value"), lease == null ? 0 : lease);
        }
        for (Object key : (List<Object>) body.getOrDefault("drop", List.of())) write((String) key, null, 0);
        return new Object[] {200, Json.of("revision", revision)};
    }

    private synchronized Object[] grant(Map<String, Object> body) {
        long ttl = Math.max(1_000, (Long) body.get("ttl_ms"));
        leases.put(++lastLease, new Lease(ttl, System.nanoTime() / 1_000_000 + ttl));
        return new Object[] {200, Json.of("lease", lastLease, "ttl_ms", ttl)};
    }

    private synchronized Object[] keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new Object[] {404, Json.of()};
        leases.put(id, new Lease(lease.ttlMillis, System.nanoTime() / 1_000_000 + lease.ttlMillis));
        return new Object[] {200, Json.of("lease", id, "ttl_ms", lease.ttlMillis)};
    }

    private synchronized Object[] end(long id) {
        if (!leases.containsKey(id)) return new Object[] {404, Json.of()};
        endLease(id);
        return new Object[] {200, Json.of()};
    }
}
