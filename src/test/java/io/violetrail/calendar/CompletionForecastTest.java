package io.violetrail.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.violetrail.calendar.CompletionForecast.RunProgress;
import org.junit.jupiter.api.Test;

/** Tests that the completion of a run is forecast from its progress. */
class CompletionForecastTest {
  @Test
  void completionIsForecastFromProgress() {
    assertEquals(
        100_000,
        CompletionForecast.completionMillis(0, new RunProgress(4, 0, 0, 0, 60, 40)),
        "no task has started");
    assertEquals(
        30_000, CompletionForecast.completionMillis(0, new RunProgress(4, 0, 4, 30, 60, 40)));
    assertEquals(
        150_000,
        CompletionForecast.completionMillis(0, new RunProgress(8, 1, 3, 30, 60, 40)),
        "waiting tasks start when running ones end");
    assertEquals(
        30_000,
        CompletionForecast.completionMillis(0, new RunProgress(1, 0, 1, 300, 60, 40)),
        "the task runs longer than expected");
  }
}
