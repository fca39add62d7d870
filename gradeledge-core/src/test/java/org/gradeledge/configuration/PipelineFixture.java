package org.gradeledge.configuration;

import java.nio.charset.StandardCharsets;

/** A valid pipeline file to be changed by tests. */
public abstract class PipelineFixture {

  /** The file. */
  public static final String VALID_FILE =
      """
      {"pipeline":"seat-matching",
       "stages":[
        {"name":"encode","kind":"encode","model":"e5","upstreams":["encoder-1"],
         "repeatable":true,"deadlineShare":0.2,"concurrencyLimit":8},
        {"name":"book","kind":"service","path":"/bookings","after":["encode"],
         "upstreams":["booking-1"],"repeatable":false,"deadlineShare":0.5,"concurrencyLimit":8}],
       "accounts":[
        {"name":"riders","tokenSha256":"aaaa","priority":5,"weight":2,"deadlineMs":2000,
         "requestsPerSecond":100},
        {"name":"drivers","tokenSha256":"bbbb","priority":5,"weight":1,"deadlineMs":2000,
         "requestsPerSecond":100}],
       "upstreams":[
        {"id":"encoder-1","host":"127.0.0.1","port":9001,"availabilityZone":"sofia-1",
         "roles":["encode"],"models":["e5"],"slots":8,"checksOrders":true,
         "tellsWhetherItRan":true},
        {"id":"booking-1","host":"127.0.0.1","port":9002,"availabilityZone":"sofia-1",
         "roles":["service"],"models":[],"slots":8,"checksOrders":false,
         "tellsWhetherItRan":true}]}
      """
          .replace("aaaa", "a".repeat(64))
          .replace("bbbb", "b".repeat(64));

  private PipelineFixture() {}

  /** Returns the file as read. */
  public static PipelineFile file() {
    return new PipelineFileReader().read(VALID_FILE.getBytes(StandardCharsets.UTF_8)).get();
  }

  /** Returns the file as a version. */
  public static PipelineVersion version(long number, String submissionId) {
    return new PipelineVersion(
        number, submissionId, VALID_FILE.getBytes(StandardCharsets.UTF_8), file());
  }
}
