package org.wigeongrade.platform.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wigeongrade.proof.LoopbackPorts;

/** Every endpoint VM of a soak, and the promises that concern several of them. Thread safe. */
final class StandinFleet implements AutoCloseable {
    private static final int DOMAINS = 2;
    private static final int VMS_IN_DOMAIN = 5;
    private static final int PLAIN_REPLICAS = 2;

    private final Promises promises;
    private final ControlCaller control;
    private final SoakOperator operator;
    private final List<StandinVm> vms = new CopyOnWriteArrayList<>();
    private final Map<EngineMember.Group, Set<String>> everReady = new ConcurrentHashMap<>();

    StandinFleet(Promises promises, ControlCaller control, SoakOperator operator) {
        this.promises = promises;
        this.control = control;
        this.operator = operator;
    }

    void start() {
        for (int domain = 0; domain < DOMAINS; domain++) {
            for (int vm = 0; vm < VMS_IN_DOMAIN; vm++) {
                add("e-" + domain + "-" + vm, "pool", Optional.of("domain-" + domain));
            }
        }
        for (int replica = 0; replica < PLAIN_REPLICAS; replica++) {
            add("a-" + replica, "app", Optional.empty());
            add("b-" + replica, "other", Optional.empty());
        }
    }

    private void add(String name, String service, Optional<String> domain) {
        vms.add(new StandinVm(name, service, LoopbackPorts.free(), this, domain));
    }

    List<StandinVm> vms() {
        return vms;
    }

    /** Returns an engine VM or, as often, a replica of a plain service. */
    StandinVm any(Random random) {
        final boolean engine = random.nextBoolean();
        final List<StandinVm> fitting =
                vms.stream().filter(vm -> vm.engine().isPresent() == engine).toList();
        return fitting.get(random.nextInt(fitting.size()));
    }

    Promises promises() {
        return promises;
    }

    ControlCaller control() {
        return control;
    }

    /** Checks what an endpoint may run by the configurations that were ever sent. */
    void checkRun(String path, String service, String organisation, String attempt) {
        operator.checkRun(path, service, organisation, attempt, promises.sentNanos(attempt));
    }

    void readyOnce(EngineMember.Group group, String vm) {
        everReady
                .computeIfAbsent(group, unused -> ConcurrentHashMap.newKeySet())
                .add(vm);
    }

    /** Returns whether every member is there and in the group. */
    boolean isWhole(EngineMember.Group group) {
        return group != null
                && group.members().stream()
                        .allMatch(member -> member(member)
                                .filter(vm -> vm.isRunning()
                                        && group.equals(
                                                vm.engine().orElseThrow().group()))
                                .isPresent());
    }

    /** A request may begin only in a group of full size whose members were all ready in it. */
    void checkWhole(EngineMember.Group group) {
        if (group == null) {
            return;
        }
        final Set<String> ready = everReady.getOrDefault(group, Set.of());
        if (group.members().size() != EngineMember.GROUP_SIZE || !ready.containsAll(group.members())) {
            promises.violated("only whole groups serve", group + " runs a request, ready were " + ready);
        }
    }

    /** A VM may join another group only once the head of its group cannot run anything more. */
    void checkJoin(String vm, EngineMember.Group from, String to) {
        if (from == null || from.name().equals(to)) {
            return;
        }
        final Optional<StandinVm> head = member(from.members().get(0));
        final boolean serves = head.filter(StandinVm::isRunning)
                .flatMap(StandinVm::engine)
                .filter(member -> from.equals(member.group()) && member.mayServe())
                .isPresent();
        if (serves) {
            promises.violated("no VM is in two groups", vm + " joins " + to + " while the head of " + from + " serves");
        }
    }

    private Optional<StandinVm> member(String name) {
        return vms.stream().filter(vm -> vm.name().equals(name)).findFirst();
    }

    @Override
    public void close() {
        vms.forEach(StandinVm::close);
    }
}
