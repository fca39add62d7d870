package org.gradeledge.deployment;

import java.util.Optional;
import org.gradeledge.text.HeaderText;

/**
 * A client account that is identified by keys.
 *
 * @param name name of the account, forwarded to upstreams
 * @param priority priority of the account, if any; takes precedence over that of the route, 0 is
 *     the most urgent
 * @since 0.2
 */
public record ClientAccount(String name, Optional<Integer> priority) {

  /** Returns whether the name can be sent to upstreams in a header. */
  public boolean isForwardable() {
    return HeaderText.isSendable(name);
  }
}
