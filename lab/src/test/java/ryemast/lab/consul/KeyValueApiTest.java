package ryemast.lab.consul;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Keys, sessions and what is done to them on command, held against what Consul's pages say. */
class KeyValueApiTest extends VirtualAgent {

    private void set(String key, String value) {
        assertEquals("true", put("/v1/kv/" + key, value).body);
    }

    private JsonObject entry(String key) {
        return get("/v1/kv/" + key).array().get(0).getAsJsonObject();
    }

    private String value(String key) {
        var told = get("/v1/kv/" + key + "?raw");
        return told.status == 200 ? told.body : told.status + "";
    }

    private long version(String key) {
        return entry(key).get("ModifyIndex").getAsLong();
    }

    private String session(String json) {
        var told = put("/v1/session/create", json);
        assertEquals(200, told.status, told.body);
        return JsonParser.parseString(told.body).getAsJsonObject().get("ID").getAsString();
    }

    private String acquire(String key, String session) {
        return put("/v1/kv/" + key + "?acquire=" + session, "held").body;
    }

    private Told txn(String operations) {
        return put("/v1/txn", operations.replace('\'', '"'));
    }

    private boolean lives(String session) {
        return get("/v1/session/info/" + session).array().size() == 1;
    }

    @Test
    void anEntryIsReadAsItWasSet() {
        assertEquals("true", put("/v1/kv/a/b%20+c?flags=18446744073709551615", "Grüße").body);
        var told = get("/v1/kv/a/b%20+c");
        var entry = told.array().get(0).getAsJsonObject();
        assertEquals("a/b +c", entry.get("Key").getAsString());
        assertEquals("18446744073709551615", entry.get("Flags").getAsString());
        assertEquals("Grüße", new String(Base64.getDecoder().decode(entry.get("Value").getAsString()),
                StandardCharsets.UTF_8));
        assertEquals(0, entry.get("LockIndex").getAsLong());
        assertEquals(told.index, entry.get("ModifyIndex").getAsLong());
        assertEquals(entry.get("CreateIndex"), entry.get("ModifyIndex"));
        set("a/b%20+c", "");
        assertTrue(get("/v1/kv/a/b%20+c").body.contains("\"Value\":null"));
        long before = version("a/b%20+c");
        set("a/b%20+c", "");
        assertEquals(before, version("a/b%20+c"), "the same again is no change");
        assertEquals(200, put("/v1/kv/long", "x".repeat(512 * 1024)).status);
        assertEquals(413, put("/v1/kv/long", "x".repeat(512 * 1024 + 1)).status);
        var none = get("/v1/kv/none");
        assertEquals(404, none.status);
        assertTrue(none.index >= version("long"));
        assertEquals(400, put("/v1/kv/", "x").status);
        assertEquals(400, put("/v1/kv/a?cas=1&acquire=x", "x").status);
        assertEquals(400, put("/v1/kv/a?flags=-1", "x").status);
    }

    @Test
    void namesAreFoldedAtTheSeparator() {
        for (var each : new String[] {"foo", "foo/bar", "foo/baz/first", "foo/baz/second", "fop"}) {
            set(each, each);
        }
        assertEquals("[\"foo/bar\",\"foo/baz/\"]", get("/v1/kv/foo/?keys&separator=/").body);
        assertEquals("[\"foo\",\"foo/\"]", get("/v1/kv/foo?keys&separator=/").body);
        assertEquals(3, get("/v1/kv/foo/?recurse").array().size());
        assertEquals("true", delete("/v1/kv/foo?recurse").body);
        assertEquals(404, get("/v1/kv/foo?keys").status);
        assertEquals("[\"fop\"]", get("/v1/kv/?keys").body);
    }

    @Test
    void comparedChangesTakeEffectAtTheirIndexAlone() {
        assertEquals("true", put("/v1/kv/a?cas=0", "1").body);
        assertEquals("false", put("/v1/kv/a?cas=0", "2").body);
        long at = version("a");
        assertEquals("false", put("/v1/kv/a?cas=" + (at - 1), "2").body);
        assertEquals("true", put("/v1/kv/a?cas=" + at, "2").body);
        assertEquals("false", delete("/v1/kv/a?cas=" + at).body);
        assertEquals("2", value("a"));
        assertEquals("true", delete("/v1/kv/a?cas=" + version("a")).body);
        assertEquals("404", value("a"));
        assertEquals("false", put("/v1/kv/a?cas=" + at, "2").body, "it is gone");
    }

    @Test
    void watchesHearOfWhatConcernsThemAndOfDeletions() {
        set("p/a", "1");
        set("q/a", "1");
        var under = get("/v1/kv/p/?recurse&wait=10s&index=" + get("/v1/kv/p/?recurse").index);
        var one = get("/v1/kv/p/a?wait=10s&index=" + version("p/a"));
        set("q/a", "2");
        set("p/b", "1");
        assertEquals(0, one.status);
        assertEquals(2, under.array().size());
        var two = get("/v1/kv/p/?recurse&wait=10s&index=" + under.index);
        delete("/v1/kv/p/b");
        assertTrue(two.index > under.index && two.array().size() == 1);
        var three = get("/v1/kv/p/?keys&wait=10s&index=" + two.index);
        delete("/v1/kv/p/?recurse");
        assertTrue(three.status == 404 && three.index > two.index);
        assertTrue(one.status == 404 && one.index == three.index);
        var four = get("/v1/kv/p/?recurse&wait=10s&index=" + three.index);
        set("q/a", "3");
        assertEquals(0, four.status, "the prefix has its own grave");
        pass(10 * S);
        assertEquals(three.index, four.index);
        pass(KeyValues.GRAVE_KEPT);
        assertEquals(version("q/a"), get("/v1/kv/p/?recurse").index, "the grave is gone");
    }

    @Test
    void aSessionLapsesBetweenOneAndTwoTimesAndLocksWaitForTheDelay() {
        var first = session("{\"TTL\":\"10s\",\"LockDelay\":\"5s\",\"Name\":\"n\"}");
        var other = session("");
        assertEquals(1.5e10, get("/v1/session/info/" + other).array().get(0).getAsJsonObject()
                .get("LockDelay").getAsDouble());
        assertEquals("true", acquire("l", first));
        assertEquals("true", acquire("l", first));
        assertEquals("false", acquire("l", other));
        assertEquals(1, entry("l").get("LockIndex").getAsLong());
        assertEquals("false", put("/v1/kv/l?release=" + other, "x").body);
        assertEquals("true", put("/v1/kv/l?release=" + first, "x").body);
        assertEquals("true", acquire("l", other), "no delay after a release in order");
        assertEquals("true", put("/v1/kv/l?release=" + other, "x").body);
        assertEquals("true", acquire("l", first));
        assertEquals(3, entry("l").get("LockIndex").getAsLong());
        pass(9 * S);
        assertEquals(200, put("/v1/session/renew/" + first, "").status);
        pass(10 * S);
        assertTrue(lives(first), "it was renewed");
        pass(10 * S);
        assertTrue(!lives(first) && !entry("l").has("Session"));
        assertEquals(404, put("/v1/session/renew/" + first, "").status);
        assertEquals(500, put("/v1/kv/l?acquire=" + first, "x").status);
        // It lapsed 15 s after the renewal, 5 s ago.
        assertEquals("true", acquire("l", other));
        put("/v1/session/destroy/" + other, "");
        var third = session("{\"Behavior\":\"delete\",\"LockDelay\":0}");
        pass(14 * S);
        assertEquals("false", acquire("l", third));
        pass(S);
        assertEquals("true", acquire("l", third));
        put("/v1/session/destroy/" + third, "");
        assertEquals("404", value("l"));
        assertEquals("[]", get("/v1/session/list").body);
        assertEquals(500, put("/v1/session/create", "{\"TTL\":\"9s\"}").status);
        assertEquals(500, put("/v1/session/create", "{\"TTL\":\"86401s\"}").status);
    }

    @Test
    void aNewLeaderGivesSessionsTheirWholeTimeAgain() {
        var one = session("{\"TTL\":\"10s\"}");
        pass(14 * S);
        put("/v1/lab/fault", "{\"kind\":\"new-leader\"}");
        pass(14 * S);
        assertTrue(lives(one));
        pass(S);
        assertTrue(!lives(one));
    }

    @Test
    void aTransactionTellsWhatItDidOrWhatFailed() {
        set("a", "1");
        var done = txn("[{'KV':{'Verb':'get','Key':'a'}},"
                + "{'KV':{'Verb':'set','Key':'b','Value':'eA==','Flags':7}},"
                + "{'KV':{'Verb':'delete','Key':'a'}}]");
        long at = version("b");
        assertEquals("{'Results':[{'KV':{'LockIndex':0,'Key':'a','Flags':0,'Value':'MQ==','CreateIndex':"
                + (at - 1) + ",'ModifyIndex':" + (at - 1) + "}},{'KV':{'LockIndex':0,'Key':'b','Flags':7,"
                + "'Value':null,'CreateIndex':" + at + ",'ModifyIndex':" + at + "}}],'Errors':null}",
                done.body.replace('"', '\''));
        var failed = txn("[{'KV':{'Verb':'set','Key':'c'}},"
                + "{'KV':{'Verb':'check-index','Key':'b','Index':1}},{'KV':{'Verb':'odd','Key':'b'}}]");
        assertEquals(409, failed.status);
        assertEquals("{'Results':null,'Errors':[{'OpIndex':1,'What':'failed index check for key \\'b\\', "
                + "current modify index " + at + " != 1'},{'OpIndex':2,'What':'unknown KV verb \\'odd\\''}]}",
                failed.body.replace('"', '\''));
        assertEquals("404", value("c"));
        var many = ",{\"KV\":{\"Verb\":\"get-or-empty\",\"Key\":\"c\"}}".repeat(65).substring(1);
        assertEquals(413, put("/v1/txn", "[" + many + "]").status);
        assertEquals(200, put("/v1/txn", "[" + many.substring(many.indexOf('}') + 3) + "]").status);
        assertEquals(400, put("/v1/txn", "[{\"Node\":{}}]").status);
        assertEquals(400, put("/v1/txn", "{").status);
    }

    @Test
    void faultsReachKeysToo() {
        set("a", "1");
        api.faults().set("old", "/v1/kv", 0, 0, 0);
        set("a", "2");
        set("b", "2");
        long old = get("/v1/kv/a").index;
        assertEquals("1", value("a"));
        assertEquals("404", value("b"));
        assertEquals("2", get("/v1/kv/a?raw&consistent").body);
        var read = "[{\"KV\":{\"Verb\":\"get\",\"Key\":\"b\"}}]";
        assertEquals(200, put("/v1/txn", read).status, "the path is another");
        var waits = get("/v1/kv/a?wait=10s&index=" + old);
        assertEquals(0, waits.status, "one who is behind has nothing new to say");
        put("/v1/lab/clear", "");
        assertTrue(waits.index > old);
        api.faults().set("old", "/v1/kv", 0, 0, 1);
        set("a", "3");
        assertEquals("2", value("a"));
        assertEquals("3", value("a"), "it was for one read");
        api.faults().set("read-only", "", 0, 0, 0);
        assertEquals(500, put("/v1/kv/a", "4").status);
        assertEquals(500, delete("/v1/kv/a").status);
        assertEquals(500, put("/v1/session/create", "").status);
        assertEquals(500, put("/v1/txn", read.replace("get", "set")).status);
        assertEquals(200, put("/v1/txn", read).status);
        assertEquals("3", value("a"));
        put("/v1/lab/clear", "");
        api.faults().set("no-leader", "", 0, 0, 0);
        assertEquals(500, get("/v1/kv/a").status);
        assertEquals(200, get("/v1/kv/a?stale").status);
    }

    /** Guards against a judge that sees a fire's record and not yet the mark that was set with it. */
    @Test
    void whatTakesEffectTogetherIsGivenTogether() {
        var steps = new ArrayList<List<String>>();
        api.onWrite(step -> steps.add(step.stream().map(Written::key).toList()));
        txn("[{'KV':{'Verb':'set','Key':'b','Value':''}},{'KV':{'Verb':'set','Key':'a','Value':''}}]");
        set("c", "1");
        assertEquals(List.of(List.of("a", "b"), List.of("c")), steps);
    }

    @Test
    void whatWasBackedUpComesBackUnderAnOldIndexOrANewOne() {
        assertEquals(400, put("/v1/lab/fault", "{\"kind\":\"restore\"}").status);
        set("a", "1");
        var one = session("{\"TTL\":\"10s\"}");
        acquire("a", one);
        long then = version("a");
        api.backup();
        var written = new ArrayList<String>();
        api.onWrite(step -> step.forEach(each -> written.add(each.key() + "@" + each.index()
                + (each.value() == null ? " gone" : ""))));
        put("/v1/session/destroy/" + one, "");
        delete("/v1/kv/a");
        assertEquals("[a@" + (then + 1) + ", a@" + (then + 2) + " gone]", written.toString());
        var waits = get("/v1/kv/a?index=" + get("/v1/kv/a").index);
        api.restore(true);
        assertEquals(then, waits.index);
        assertTrue(lives(one) && entry("a").get("Session").getAsString().equals(one));
        set("b", "1");
        assertEquals(then + 1, version("b"), "an index that was given before");
        set("b", "2");
        api.restore(false);
        assertEquals(then, version("a"));
        assertEquals(then + 3, get("/v1/kv/?recurse").index);
        api.loseDisk();
        assertEquals(404, get("/v1/kv/a").status);
        assertTrue(!lives(one) && get("/v1/kv/a").index < then);
    }
}
