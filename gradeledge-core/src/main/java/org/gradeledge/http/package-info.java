/**
 * What the HTTP interfaces for callers and operators share: bounded bodies, tokens, TLS, replies.
 */
@NullMarked
package org.gradeledge.http;

import org.jspecify.annotations.NullMarked;
