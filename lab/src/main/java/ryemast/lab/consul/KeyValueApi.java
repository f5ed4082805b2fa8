package ryemast.lab.consul;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Collection;
import java.util.TreeSet;
import ryemast.lab.consul.ConsulApi.Refused;
import ryemast.lab.consul.ConsulApi.Reply;
import ryemast.lab.consul.ConsulFault.Kind;
import ryemast.lab.consul.KeyValues.Entry;
import ryemast.lab.consul.Queries.Found;

/** {@code /v1/kv/}: keys read, watched, set, locked and deleted one at a time or by their prefix. */
final class KeyValueApi {

    static final String PATH = "/v1/kv/";
    static final int LONGEST_VALUE = 512 * 1024;
    private static final Found ABSENT = new Found(404, "");

    private final KeyValues keys;
    private final Sessions sessions;
    private final ConsulFaults faults;
    private final Queries queries;

    KeyValueApi(KeyValues keys, Sessions sessions, ConsulFaults faults, Queries queries) {
        this.keys = keys;
        this.sessions = sessions;
        this.faults = faults;
        this.queries = queries;
    }

    void get(ConsulCall call, Struck struck, Reply reply) throws Refused {
        var key = call.behind(PATH);
        if (call.has("keys") || call.has("recurse")) {
            var separator = call.query().getOrDefault("separator", "");
            queries.ask(call, struck, () -> faults.seen(call, struck, keys).indexUnder(key), () -> {
                var found = faults.seen(call, struck, keys).under(key);
                return found.isEmpty() || struck.has(Kind.EMPTY) ? ABSENT
                        : Found.of(call.has("keys") ? names(found, key, separator) : entries(found));
            }, reply);
            return;
        }
        named(key);
        queries.ask(call, struck, () -> faults.seen(call, struck, keys).indexOf(key), () -> {
            var entry = faults.seen(call, struck, keys).get(key);
            return entry == null || struck.has(Kind.EMPTY) ? ABSENT
                    : Found.of(call.isRaw() ? new String(entry.value(), StandardCharsets.ISO_8859_1)
                            : "[" + json(entry, true) + "]");
        }, reply);
    }

    /** The body of an answer of 200: whether it was done. */
    String put(ConsulCall call) throws Refused {
        var key = named(call.behind(PATH));
        long flags = call.number("flags");
        if ((call.has("cas") ? 1 : 0) + (call.has("acquire") ? 1 : 0) + (call.has("release") ? 1 : 0) > 1) {
            throw new Refused(400, "Conflicting flags: " + String.join(", ", call.query().keySet()));
        }
        var value = call.message().body();
        if (value.length > LONGEST_VALUE) {
            throw new Refused(413, "Request body(" + value.length + " bytes) too large, max size: "
                    + LONGEST_VALUE + " bytes.");
        }
        if (call.has("cas")) {
            long expected = call.number("cas");
            return said(keys.together(() -> keys.cas(key, value, flags, expected) != null));
        }
        if (call.has("acquire")) {
            var session = held(call, "acquire");
            if (sessions.get(session) == null) {
                throw new Refused(500, "invalid session \"" + session + "\"");
            }
            return said(!sessions.isDelayed(key)
                    && keys.together(() -> keys.lock(key, value, flags, session) != null));
        }
        if (call.has("release")) {
            var session = held(call, "release");
            return said(keys.together(() -> keys.unlock(key, value, flags, session) != null));
        }
        return said(keys.together(() -> keys.set(key, value, flags) != null));
    }

    String delete(ConsulCall call) throws Refused {
        var key = call.behind(PATH);
        if (call.has("recurse") && call.has("cas")) {
            throw new Refused(400, "Conflicting flags: recurse, cas");
        }
        if (call.has("cas")) {
            long expected = call.number("cas");
            named(key);
            return said(keys.together(() -> keys.deleteCas(key, expected)));
        }
        if (!call.has("recurse")) {
            named(key);
        }
        return said(keys.together(() -> {
            if (call.has("recurse")) {
                keys.deleteTree(key);
            } else {
                keys.delete(key);
            }
            return true;
        }));
    }

    private static String said(boolean done) {
        return Boolean.toString(done);
    }

    private static String named(String key) throws Refused {
        if (key.isEmpty()) {
            throw new Refused(400, "Missing key name");
        }
        return key;
    }

    private static String held(ConsulCall call, String by) throws Refused {
        var session = call.query().get(by);
        if (session.isEmpty()) {
            throw new Refused(500, "missing session");
        }
        return session;
    }

    private static String entries(Collection<Entry> found) {
        var all = new JsonArray();
        found.forEach(each -> all.add(json(each, true)));
        return all.toString();
    }

    /** Up to the separator behind the prefix, where there is one: as a folder's names. */
    private static String names(Collection<Entry> found, String prefix, String separator) {
        var names = new TreeSet<String>();
        for (var each : found) {
            int end = separator.isEmpty() ? -1 : each.key().indexOf(separator, prefix.length());
            names.add(end < 0 ? each.key() : each.key().substring(0, end + separator.length()));
        }
        return ConsulJson.texts(names).toString();
    }

    /** As the pages show it; an empty value is null, as is one that is left out. */
    static JsonObject json(Entry entry, boolean whole) {
        var json = new JsonObject();
        json.addProperty("LockIndex", entry.lockIndex());
        json.addProperty("Key", entry.key());
        json.addProperty("Flags", new BigInteger(Long.toUnsignedString(entry.flags())));
        json.addProperty("Value", !whole || entry.value().length == 0 ? null
                : Base64.getEncoder().encodeToString(entry.value()));
        if (!entry.session().isEmpty()) {
            json.addProperty("Session", entry.session());
        }
        json.addProperty("CreateIndex", entry.createIndex());
        json.addProperty("ModifyIndex", entry.modifyIndex());
        return json;
    }
}
