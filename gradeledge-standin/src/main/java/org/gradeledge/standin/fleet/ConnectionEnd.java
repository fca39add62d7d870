package org.gradeledge.standin.fleet;

import java.io.IOException;

/** What becomes of a connection after an answer. */
enum ConnectionEnd {
  /** The engine reads the next request. */
  KEEP_OPEN {
    @Override
    boolean apply(EngineConnection connection) {
      return true;
    }
  },
  /** The engine closes the connection in order. */
  CLOSE {
    @Override
    boolean apply(EngineConnection connection) throws IOException {
      return connection.closeInOrder();
    }
  },
  /** The engine resets the connection. */
  RESET {
    @Override
    boolean apply(EngineConnection connection) throws IOException {
      return connection.reset();
    }
  },
  /** The engine sends nothing more until the caller does. */
  HANG {
    @Override
    boolean apply(EngineConnection connection) throws IOException {
      return connection.hang() && connection.reset();
    }
  };

  /** Applies the end to a connection; returns whether it stays open. */
  abstract boolean apply(EngineConnection connection) throws IOException;
}
