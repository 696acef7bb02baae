import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store: items, a history for watches, transactions, and leases that expire. */
final class Store {
    private record Item(String key, String value, long revision, long created, long lease) {
        String json() {
            return "{\"key\":" + Json.quote(key) + ",\"value\":" + Json.quote(value) + ",\"revision\":" + revision
                + ",\"created\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(long revision, String key, String json) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 5000;
    private long oldestKnown = 0;
    private volatile int era = 1;

    /** What the store had at some time. */
    record Copy(TreeMap<String, Item> items, Map<Long, Long> leases, long revision, long lastLease) {}
    final Listener listener;

    Store(String host) throws IOException {
        listener = new Listener(host, this::serve);
        Lab.daemon(() -> {
            while (true) {
                Lab.sleep(50);
                expire();
            }
        });
    }

    /** Writes a value as the operator or a worker does. */
    synchronized void put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0, ++revision);
        notifyAll();
    }

    synchronized void remove(String key) {
        drop(key, ++revision);
        notifyAll();
    }

    synchronized List<String> keys(String prefix) {
        return new ArrayList<>(items.keySet().stream().filter(it -> it.startsWith(prefix)).toList());
    }

    /** A copy of what the store has now, with the time for which each lease was granted. */
    synchronized Copy copy() {
        Map<Long, Long> times = new HashMap<>();
        leases.forEach((lease, held) -> times.put(lease, held[0]));
        return new Copy(new TreeMap<>(items), times, revision, lastLease);
    }

    /** Goes away like a process that ends. */
    void goAway() {
        listener.crash();
    }

    /** Comes back from [copy] in a new era: revisions go back, and watches from later ones get 410. */
    synchronized void comeBack(Copy copy) throws IOException {
        items.clear();
        items.putAll(copy.items);
        leases.clear();
        long now = System.nanoTime();
        copy.leases.forEach((lease, ttl) -> leases.put(lease, new long[] {ttl, now + ttl * 1_000_000}));
        history.clear();
        revision = copy.revision;
        lastLease = copy.lastLease;
        oldestKnown = revision;
        era++;
        listener.start();
    }

    private void write(String key, String value, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(key, value, at, before == null ? at : before.created, lease);
        items.put(key, item);
        history.add(new Event(at, key, item.json()));
    }

    private void drop(String key, long at) {
        if (items.remove(key) == null) return;
        history.add(new Event(at, key, "{\"key\":" + Json.quote(key) + ",\"revision\":" + at + ",\"deleted\":true}"));
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        List<Long> over = leases.entrySet().stream().filter(it -> it.getValue()[1] < now).map(Map.Entry::getKey).toList();
        over.forEach(this::endLease);
    }

    private void endLease(long lease) {
        leases.remove(lease);
        List<String> keys = items.values().stream().filter(it -> it.lease == lease).map(Item::key).toList();
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(it -> drop(it, revision));
        notifyAll();
    }

    private void serve(Wire wire) throws Exception {
        for (Wire.Head head = wire.readHead(); head != null; head = wire.readHead()) {
            String body = new String(wire.readBody(head), StandardCharsets.UTF_8);
            Lab.sleep(4);
            answer(wire, head, body);
        }
    }

    private void answer(Wire wire, Wire.Head head, String body) throws Exception {
        String path = head.target().split("\\?")[0];
        Map<String, String> query = query(head.target());
        if (path.equals("/-/kv-range")) send(wire, 200, range(query));
        else if (path.equals("/-/kv-watch")) watch(wire, query);
        else if (path.equals("/-/kv-txn")) transact(wire, Json.object(body));
        else if (path.equals("/-/kv-lease")) send(wire, 200, grant((Long) Json.object(body).get("ttl_ms")));
        else if (path.startsWith("/-/kv-keep/")) keep(wire, Long.parseLong(path.substring(11)));
        else if (path.startsWith("/-/kv-lease-end/")) end(wire, Long.parseLong(path.substring(16)));
        else send(wire, 404, "{}");
    }

    private synchronized String range(Map<String, String> query) {
        List<Item> found = items.tailMap(query.getOrDefault("after", ""), false).values().stream()
            .filter(it -> it.key.startsWith(query.getOrDefault("prefix", ""))).limit(501).toList();
        boolean hasMore = found.size() > 500;
        String list = String.join(",", found.stream().limit(500).map(Item::json).toList());
        return "{\"items\":[" + list + "],\"has_more\":" + hasMore + ",\"at\":" + revision + "}";
    }

    private void watch(Wire wire, Map<String, String> query) throws Exception {
        String events = events(query);
        if (events == null) send(wire, 410, "{}"); else send(wire, 200, events);
    }

    /** The answer to a watch; null where the store doesn't have the revision after which it is asked for. */
    private synchronized String events(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        String prefix = query.getOrDefault("prefix", "");
        while (true) {
            if (after < oldestKnown || after > revision) return null;
            List<String> events = history.stream()
                .filter(it -> it.revision > after && it.key.startsWith(prefix)).map(Event::json).toList();
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
            }
            wait(left);
        }
    }

    private synchronized void transact(Wire wire, Map<String, Object> call) throws IOException {
        List<Map<String, Object>> expected = Json.rows(call.get("expected"));
        for (Map<String, Object> row : expected) {
            Item item = items.get((String) row.get("key"));
            if ((item == null ? 0 : item.revision) != (Long) row.get("revision")) {
                List<String> now = expected.stream().map(it -> items.get((String) it.get("key")))
                    .filter(it -> it != null).map(Item::json).toList();
                send(wire, 412, "{\"items\":[" + String.join(",", now) + "]}");
                return;
            }
        }
        List<Map<String, Object>> writes = Json.rows(call.get("writes"));
        for (Map<String, Object> row : writes) {
            long lease = row.get("lease") == null ? 0 : (Long) row.get("lease");
            if (lease != 0 && !leases.containsKey(lease)) {
                send(wire, 404, "{}");
                return;
            }
        }
        revision++;
        writes.forEach(it -> write((String) it.get("key"), (String) it.get("value"),
            it.get("lease") == null ? 0 : (Long) it.get("lease"), revision));
        Object drops = call.get("drop");
        if (drops != null) ((List<?>) drops).forEach(it -> drop((String) it, revision));
        notifyAll();
        send(wire, 200, "{\"revision\":" + revision + "}");
    }

    private synchronized String grant(long ttl) {
        leases.put(++lastLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
        return "{\"lease\":" + lastLease + ",\"ttl_ms\":" + ttl + "}";
    }

    private synchronized void keep(Wire wire, long lease) throws IOException {
        long[] held = leases.get(lease);
        if (held != null) held[1] = System.nanoTime() + held[0] * 1_000_000;
        if (held == null) send(wire, 404, "{}"); else send(wire, 200, "{\"ttl_ms\":" + held[0] + "}");
    }

    private synchronized void end(Wire wire, long lease) throws IOException {
        endLease(lease);
        send(wire, 200, "{}");
    }

    private void send(Wire wire, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        wire.write("HTTP/1.1 " + status + " X\r\nStore-Era: " + era
            + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
            + "\r\n\r\n" + new String(bytes, StandardCharsets.ISO_8859_1));
    }

    private static Map<String, String> query(String target) {
        Map<String, String> fields = new HashMap<>();
        if (!target.contains("?")) return fields;
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            int sign = part.indexOf('=');
            fields.put(part.substring(0, sign), URLDecoder.decode(part.substring(sign + 1), StandardCharsets.UTF_8));
        }
        return fields;
    }
}
