package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/**
 * The links of one box to all upstreams: it reads the addresses of links in place of those of
 * upstreams, so that it can be partitioned from them while other boxes are not. Thread-safe.
 */
final class UpstreamLinks implements AutoCloseable {

  private static final Pattern ADDRESS = Pattern.compile("\"address\":\"([^\"]+)\"");

  private final Map<String, FaultyLink> linksByAddress = new ConcurrentHashMap<>();
  private volatile FaultyLink.Fault fault = FaultyLink.Fault.NONE;

  /** Returns a row with the address of a link in place of the address of an upstream. */
  String rewriteRow(String row) {
    return ADDRESS.matcher(row).replaceAll(this::replaceAddress);
  }

  private String replaceAddress(MatchResult match) {
    FaultyLink link = linksByAddress.computeIfAbsent(match.group(1), this::open);
    return "\"address\":\"" + link.address() + "\"";
  }

  private FaultyLink open(String address) {
    try {
      FaultyLink link = new FaultyLink(address);
      link.setFault(fault);
      return link;
    } catch (IOException e) {
      throw new UncheckedIOException("could not open a link to " + address, e);
    }
  }

  /** Injects a fault into all links. */
  void setFault(FaultyLink.Fault newFault) {
    fault = newFault;
    linksByAddress.values().forEach(link -> link.setFault(newFault));
  }

  @Override
  public void close() throws IOException {
    for (FaultyLink link : linksByAddress.values()) {
      link.close();
    }
  }
}
