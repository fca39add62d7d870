package org.gradeledge.standin;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * A listening server of a stand-in. Closing it ends its open connections too, as the end of a real
 * process does; without that a caller's kept connection would still be answered.
 */
public final class StandInServer implements AutoCloseable {

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final DisposableServer server;

  private StandInServer(HttpServer template) {
    this.server = template.channelGroup(connections).bindNow();
  }

  /** Starts to listen as a server is set up. */
  public static StandInServer start(HttpServer template) {
    return new StandInServer(template);
  }

  /** Returns the port that it listens on. */
  public int port() {
    return server.port();
  }

  /** Ends at once; disposing of the server instead would wait for calls that never end. */
  @Override
  public void close() {
    server.channel().close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }
}
