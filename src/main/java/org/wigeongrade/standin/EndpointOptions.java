package org.wigeongrade.standin;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Command line options that all stand-in endpoints share. Not safe for concurrent use. */
public class EndpointOptions {
    @Option(name = "--vm", usage = "name of the VM")
    String vm = "";

    @Option(name = "--vms", usage = "names of several VMs, separated by commas; they listen at consecutive ports")
    String vms = "";

    @Option(
            name = "--zone",
            usage = "availability zone; several, separated by commas, are assigned to contiguous blocks of VMs")
    String zone = "zone-a";

    @Option(name = "--listen", usage = "ip:port of the first VM", required = true)
    String listen = "";

    @Option(name = "--entries", usage = "ip:port of each entry VM, separated by commas")
    String entries = "";

    @Option(name = "--journal", usage = "file to append the journal to")
    String journal = "";

    @Option(name = "--threads", usage = "event loop threads of each VM")
    int threads = 1;

    @Option(name = "--seed", usage = "seed of the fault injection")
    long seed = 1;

    List<String> vmNames() {
        return vms.isEmpty() ? List.of(vm) : split(vms);
    }

    List<String> entryAddresses() {
        return split(entries);
    }

    static List<String> split(String list) {
        return list.isEmpty() ? List.of() : List.of(list.split(","));
    }

    /** Returns the value for VM {@code index} if each value of {@code list} goes to one contiguous block of VMs. */
    String valueForVm(String list, int index) {
        List<String> values = split(list);
        return values.get(index * values.size() / vmNames().size());
    }

    List<String> addresses() {
        int colon = listen.lastIndexOf(':');
        int port = Integer.parseInt(listen.substring(colon + 1));
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < vmNames().size(); i++) {
            addresses.add(listen.substring(0, colon + 1) + (port + i));
        }
        return addresses;
    }

    Journal openJournal() {
        return journal.isEmpty() ? Journal.inMemory() : Journal.appendingTo(java.nio.file.Path.of(journal));
    }
}
