package org.ragwortbank.standins.load

import org.HdrHistogram.Histogram

/**
 * Result of a [LoadRun]. Histograms hold microseconds, for answered requests only.
 *
 * @property answered number of requests answered completely with status 200
 * @property failed number of all other requests
 * @property durationSeconds how long the run took
 * @property timeToFirstChunk time from sending a request to the first chunk of its response
 * @property timeToCompletion time from sending a request to the end of its response
 */
class LoadResult(
    val answered: Long,
    val failed: Long,
    val durationSeconds: Double,
    private val timeToFirstChunk: Histogram,
    private val timeToCompletion: Histogram,
) {
    /** Formats the request rate, failures and latencies as one line, which begins with [label]. */
    fun formatLine(label: String): String =
        "%-10s %8.0f/s  failed %d  first chunk %s  complete %s".format(
            label,
            answered / durationSeconds,
            failed,
            formatPercentiles(timeToFirstChunk),
            formatPercentiles(timeToCompletion),
        )

    private fun formatPercentiles(histogram: Histogram): String =
        "median %.2f ms p99 %.2f ms".format(percentileMillis(histogram, MEDIAN), percentileMillis(histogram, P99))

    private fun percentileMillis(histogram: Histogram, percentile: Double): Double =
        histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private companion object {
        const val MEDIAN = 50.0
        const val P99 = 99.0
        const val MICROS_PER_MILLI = 1e3
    }
}
