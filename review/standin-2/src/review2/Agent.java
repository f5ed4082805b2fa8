package review2;

import java.net.InetSocketAddress;
import ryemast.core.Clock;
import ryemast.core.Loop;
import ryemast.lab.consul.ConsulApi;
import ryemast.lab.consul.ConsulServer;
import ryemast.lab.consul.ConsulState;
import ryemast.lab.world.Timeline;
import ryemast.net.Transport;

/** The project's stand-in for an agent of Consul on a loop of its own; it runs until its process is ended. */
final class Agent implements Timeline {

    private static final long TICK = 100;
    private final Loop loop = new Loop(new Clock()::now, TICK);

    private Agent() {
    }

    public static void main(String[] arguments) {
        var agent = new Agent();
        agent.loop.post(() -> {
            var api = new ConsulApi(new ConsulState(agent));
            var server = new ConsulServer(agent.loop, new Transport(), api, null);
            // It binds on another thread, as that waits.
            new Thread(() -> {
                try {
                    System.out.println("listens at " + server.open(new InetSocketAddress("127.0.0.1",
                            Integer.parseInt(arguments[0]))));
                } catch (Exception e) {
                    e.printStackTrace();
                    Runtime.getRuntime().exit(1);
                }
            }).start();
        });
        agent.loop.run();
    }

    @Override
    public long now() {
        return loop.now();
    }

    @Override
    public Timer at(long dueAt, Runnable step) {
        return loop.at(dueAt, step)::run;
    }
}
