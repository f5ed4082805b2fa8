package ryemast.lab.consul;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Set;
import ryemast.lab.consul.ConsulApi.Refused;
import ryemast.lab.consul.KeyValues.Entry;
import ryemast.lab.consul.Queries.Found;

/**
 * {@code /v1/txn}: up to 64 operations on keys that take effect together, under one index, or not at all. An
 * operation sees what those before it did. All that fail are named, by their place in the order. Operations
 * on nodes, services and checks are refused: the stand-in has none.
 */
final class Transactions {

    static final int MOST = 64;
    private static final Set<String> READS =
            Set.of("get", "get-tree", "get-or-empty", "check-index", "check-session", "check-not-exists");

    /** {@code session}: empty for none. */
    record Operation(String verb, String key, byte[] value, long flags, long index, String session) {
    }

    /** Why an operation failed, in Consul's words. */
    private static final class Failed extends Exception {
        private static final long serialVersionUID = 1L;

        Failed(String what) {
            super(what, null, false, false);
        }
    }

    private final Sessions sessions;

    Transactions(Sessions sessions) {
        this.sessions = sessions;
    }

    static boolean isRead(List<Operation> operations) {
        return operations.stream().allMatch(each -> READS.contains(each.verb));
    }

    static List<Operation> parse(ConsulCall call) throws Refused {
        int length = call.message().body().length;
        if (length > KeyValueApi.LONGEST_VALUE) {
            throw new Refused(413, "Request body(" + length + " bytes) too large, max size: "
                    + KeyValueApi.LONGEST_VALUE + " bytes.");
        }
        var array = JsonParser.parseString(call.body()).getAsJsonArray();
        if (array.size() > MOST) {
            throw new Refused(413, "Transaction contains too many operations (" + array.size() + " > " + MOST
                    + ")");
        }
        var operations = new ArrayList<Operation>();
        for (var each : array) {
            var of = GoJson.object(each.getAsJsonObject(), "KV");
            if (of == null) {
                throw new Refused(400, "the stand-in's transactions are of KV operations alone");
            }
            operations.add(operation(of));
        }
        return operations;
    }

    private static Operation operation(JsonObject json) throws Refused {
        try {
            return new Operation(GoJson.text(json, "Verb", ""), GoJson.text(json, "Key", ""),
                    Base64.getDecoder().decode(GoJson.text(json, "Value", "")),
                    unsigned(GoJson.value(json, "Flags")), unsigned(GoJson.value(json, "Index")),
                    GoJson.text(json, "Session", ""));
        } catch (IllegalArgumentException e) {
            throw new Refused(400, "Failed to parse body: " + e.getMessage());
        }
    }

    private static long unsigned(JsonElement value) {
        return value == null ? 0 : Long.parseUnsignedLong(value.getAsString());
    }

    /** Changes the keys, or, of a transaction that only reads, looks at what is given as the keys. */
    Found run(List<Operation> operations, KeyValues keys) {
        var results = new JsonArray();
        var errors = new JsonArray();
        for (int i = 0; i < operations.size(); i++) {
            try {
                check(operations.get(i));
            } catch (Failed e) {
                errors.add(error(i, e));
            }
        }
        if (errors.isEmpty()) {
            keys.together(() -> {
                for (int i = 0; i < operations.size(); i++) {
                    try {
                        step(operations.get(i), keys, results);
                    } catch (Failed e) {
                        errors.add(error(i, e));
                    }
                }
                return errors.isEmpty();
            });
        }
        var body = new JsonObject();
        body.add("Results", errors.isEmpty() ? results : null);
        body.add("Errors", errors.isEmpty() ? null : errors);
        return new Found(errors.isEmpty() ? 200 : 409, body.toString());
    }

    private static JsonObject error(int at, Failed why) {
        var json = new JsonObject();
        json.addProperty("OpIndex", at);
        json.addProperty("What", why.getMessage());
        return json;
    }

    /** What is looked at before anything is done. */
    private void check(Operation of) throws Failed {
        if (of.key.isEmpty() && !of.verb.equals("delete-tree")) {
            throw new Failed("Must provide key");
        }
        if (of.verb.equals("lock") && sessions.isDelayed(of.key)) {
            throw new Failed("failed to lock key \"" + of.key + "\" due to lock delay");
        }
    }

    private void step(Operation of, KeyValues keys, JsonArray results) throws Failed {
        var now = keys.get(of.key);
        var name = "key \"" + of.key + "\"";
        switch (of.verb) {
            case "set" -> add(results, keys.set(of.key, of.value, of.flags), false);
            case "cas" -> add(results, done(keys.cas(of.key, of.value, of.flags, of.index),
                    "failed to set " + name + ", index is stale"), false);
            case "lock" -> {
                if (sessions.get(of.session) == null) {
                    throw new Failed(of.session.isEmpty() ? "missing session"
                            : "invalid session \"" + of.session + "\"");
                }
                add(results, done(keys.lock(of.key, of.value, of.flags, of.session),
                        "failed to lock " + name + ", lock is already held"), false);
            }
            case "unlock" -> {
                if (of.session.isEmpty()) {
                    throw new Failed("missing session");
                }
                add(results, done(keys.unlock(of.key, of.value, of.flags, of.session), "failed to unlock "
                        + name + ", lock isn't held, or is held by another session"), false);
            }
            case "get" -> add(results, done(now, name + " doesn't exist"), true);
            case "get-or-empty" -> add(results, now != null ? now
                    : new Entry(of.key, new byte[0], 0, "", 0, 0, 0), true);
            case "get-tree" -> keys.under(of.key).forEach(each -> add(results, each, true));
            case "check-index" -> {
                done(now, name + " doesn't exist");
                if (now.modifyIndex() != of.index) {
                    throw new Failed("failed index check for " + name + ", current modify index "
                            + now.modifyIndex() + " != " + of.index);
                }
                add(results, now, false);
            }
            case "check-session" -> {
                done(now, name + " doesn't exist");
                if (!now.session().equals(of.session)) {
                    throw new Failed("failed session check for " + name + ", current session \""
                            + now.session() + "\" != \"" + of.session + "\"");
                }
                add(results, now, false);
            }
            case "check-not-exists" -> {
                if (now != null) {
                    throw new Failed(name + " exists");
                }
            }
            case "delete" -> keys.delete(of.key);
            case "delete-tree" -> keys.deleteTree(of.key);
            case "delete-cas" -> {
                if (!keys.deleteCas(of.key, of.index)) {
                    throw new Failed("failed to delete " + name + ", index is stale");
                }
            }
            default -> throw new Failed("unknown KV verb \"" + of.verb + "\"");
        }
    }

    private static Entry done(Entry entry, String otherwise) throws Failed {
        if (entry == null) {
            throw new Failed(otherwise);
        }
        return entry;
    }

    private static void add(JsonArray results, Entry entry, boolean whole) {
        var result = new JsonObject();
        result.add("KV", KeyValueApi.json(entry, whole));
        results.add(result);
    }
}
