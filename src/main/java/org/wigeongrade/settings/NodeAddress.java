package org.wigeongrade.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/**
 * An IP address and a TCP port.
 *
 * <p>Invariant: {@code ip} is an IPv4 or IPv6 address, never a host name; {@code port} is from 1 to 65535. Immutable;
 * safe for use from any thread.
 */
public record NodeAddress(String ip, int port) implements Comparable<NodeAddress> {
    /** The expected form of an address, for error messages. */
    public static final String EXPECTED = "an IP address and a port, for example \"127.0.0.1:8001\"";

    private static final String BROADCAST_IP = "255.255.255.255";

    public NodeAddress {
        if (!InetAddresses.isInetAddress(ip) || port < 1 || port > 65_535) {
            throw new IllegalArgumentException("'" + ip + ":" + port + "' is not an address; expected " + EXPECTED);
        }
    }

    /** Parses {@code ip:port} or {@code [ipv6]:port}; throws {@link IllegalArgumentException} if it is malformed. */
    public static NodeAddress of(String text) {
        final HostAndPort parsed = parse(text);
        return new NodeAddress(parsed.getHost(), parsed.getPortOrDefault(0));
    }

    /**
     * Parses the address of one VM like {@link #of}; throws {@link IllegalArgumentException} also for a wildcard, a
     * multicast and the broadcast address.
     */
    public static NodeAddress ofVm(String text) {
        final NodeAddress address = of(text);
        if (address.isWildcard()
                || address.ip.equals(BROADCAST_IP)
                || InetAddresses.forString(address.ip).isMulticastAddress()) {
            throw new IllegalArgumentException("'" + text + "' is not the address of one VM; expected " + EXPECTED);
        }
        return address;
    }

    private static HostAndPort parse(String text) {
        try {
            return HostAndPort.fromString(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address; expected " + EXPECTED, e);
        }
    }

    /**
     * Returns whether the IP address is a wildcard, such as {@code 0.0.0.0}, that stands for every address of the VM.
     */
    public boolean isWildcard() {
        return InetAddresses.forString(ip).isAnyLocalAddress();
    }

    /** Returns the address as a socket address, without a name lookup. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(InetAddresses.forString(ip), port);
    }

    @Override
    public int compareTo(NodeAddress other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return HostAndPort.fromParts(ip, port).toString();
    }
}
