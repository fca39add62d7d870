package org.gradeledge.standin;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * HTTP server of a stand-in. Closing it also closes its open connections, as the exit of a process
 * does.
 */
public final class StandInServer implements AutoCloseable {

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final DisposableServer server;

  private StandInServer(HttpServer httpServer) {
    this.server = httpServer.channelGroup(connections).bindNow();
  }

  /** Binds the configured server and returns it. */
  public static StandInServer start(HttpServer httpServer) {
    return new StandInServer(httpServer);
  }

  /** Returns the local port. */
  public int port() {
    return server.port();
  }

  /** Closes the server without waiting for calls in flight, which may never complete. */
  @Override
  public void close() {
    server.channel().close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }
}
