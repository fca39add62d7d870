package org.gradeledge.standin.fleet;

/** What can be wrong with the store. */
public enum StoreFault {
  /** Nothing. */
  NONE,
  /** It answers 503. */
  BUSY,
  /** It does not answer. */
  SILENT,
  /** It has forgotten its history and answers 410 to those who follow it. */
  FORGETFUL
}
