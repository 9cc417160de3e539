package firstage.faulttest;

import firstage.emulator.FaultInjectingProxy;
import firstage.emulator.LinkFaults;
import firstage.simulation.FleetPlan;
import firstage.simulation.FleetPlan.Fault;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/** The links through the proxy: manager to engine, engine to manager, manager to manager. */
final class NetworkLinks {
    private final FaultInjectingProxy proxy;
    private final FleetPlan plan;
    private final LoopbackAddresses addresses;
    private final FaultInjectingProxy.Endpoint[][] endpoints;
    private final LinkFaults[][] toEngine;
    private final LinkFaults[][] fromEngine;
    private final LinkFaults[][] toPeer;

    NetworkLinks(FaultInjectingProxy proxy, FleetPlan plan, LoopbackAddresses addresses) {
        this.proxy = proxy;
        this.plan = plan;
        this.addresses = addresses;
        int managers = plan.managers().count();
        int engines = plan.engines().count();
        endpoints = new FaultInjectingProxy.Endpoint[managers][engines];
        toEngine = new LinkFaults[managers][engines];
        fromEngine = new LinkFaults[managers][engines];
        toPeer = new LinkFaults[managers][managers];
    }

    /**
     * Creates all links; must be called before the proxy starts.
     *
     * @param withPeers whether datagrams between managers are forwarded
     */
    void open(boolean withPeers) throws IOException {
        int managers = plan.managers().count();
        for (int manager = 0; manager < managers; manager++) {
            for (int engine = 0; engine < plan.engines().count(); engine++) {
                openToEngine(manager, engine);
            }
            for (int peer = 0; peer < managers; peer++) {
                toPeer[manager][peer] = proxy.newLink();
            }
        }
        for (int manager = 0; withPeers && manager < managers; manager++) {
            for (int peer = manager + 1; peer < managers; peer++) {
                proxy.forwardDatagrams(
                        addresses.gossip(manager),
                        addresses.gossip(peer),
                        addresses.peerSeenBy(manager, peer),
                        addresses.peerSeenBy(peer, manager),
                        toPeer[manager][peer],
                        toPeer[peer][manager]);
            }
        }
    }

    private void openToEngine(int manager, int engine) {
        toEngine[manager][engine] = proxy.newLink();
        fromEngine[manager][engine] = proxy.newLink();
        endpoints[manager][engine] =
                proxy.addEndpoint(
                        addresses.engineSeenBy(manager, engine),
                        addresses.engine(engine),
                        toEngine[manager][engine],
                        fromEngine[manager][engine]);
        endpoints[manager][engine].setMode(FaultInjectingProxy.EndpointMode.OPEN, false);
    }

    /** Sets how the proxy's addresses of an engine respond to the managers. */
    void setEngineMode(
            int engine, FaultInjectingProxy.EndpointMode mode, boolean resetConnections) {
        for (FaultInjectingProxy.Endpoint[] managerEndpoints : endpoints) {
            managerEndpoints[engine].setMode(mode, resetConnections);
        }
    }

    /** Resets the connections of all managers to an engine. */
    void resetConnections(int engine) {
        for (FaultInjectingProxy.Endpoint[] managerEndpoints : endpoints) {
            managerEndpoints[engine].resetConnections();
        }
    }

    /**
     * Returns the longest duration of a round of the proxy's loop in the last quarter of a second,
     * in ticks.
     */
    long recentLateness() {
        return proxy.recentLateness();
    }

    /** Returns whether the link to the engine is faulty or was within the last {@code ticks}. */
    boolean toEngineFaultyWithin(int manager, int engine, long ticks) {
        return toEngine[manager][engine].wasFaultyWithin(ticks);
    }

    /**
     * Applies an action to each link from one of {@code from} to one of {@code to}, and to the
     * reverse links unless the fault is one-way.
     */
    void forEach(Fault fault, List<Integer> from, List<Integer> to, Consumer<LinkFaults> action) {
        boolean fromEngines = fault.source().targetsEngines();
        boolean toEngines = fault.target().targetsEngines();
        boolean betweenPeers = !fromEngines && !toEngines;
        if (fromEngines && toEngines) {
            return;
        }
        for (int source : from) {
            for (int target : to) {
                if (betweenPeers) {
                    applyToPeers(fault, source, target, action);
                } else if (fromEngines) {
                    applyToEngine(fault, target, source, true, action);
                } else {
                    applyToEngine(fault, source, target, false, action);
                }
            }
        }
    }

    private void applyToPeers(Fault fault, int source, int target, Consumer<LinkFaults> action) {
        if (source == target) {
            return;
        }
        action.accept(toPeer[source][target]);
        if (!fault.oneWay()) {
            action.accept(toPeer[target][source]);
        }
    }

    private void applyToEngine(
            Fault fault,
            int manager,
            int engine,
            boolean fromEngineFirst,
            Consumer<LinkFaults> action) {
        LinkFaults managerToEngine = toEngine[manager][engine];
        LinkFaults engineToManager = fromEngine[manager][engine];
        action.accept(fromEngineFirst ? engineToManager : managerToEngine);
        if (!fault.oneWay()) {
            action.accept(fromEngineFirst ? managerToEngine : engineToManager);
        }
        endpoints[manager][engine].onLinkChanged();
    }
}
