package org.ragwortbank.standins.load

import org.HdrHistogram.Histogram

/**
 * What a load run measured, times in microseconds.
 *
 * @property timeToFirstChunk time to the first piece of the answer
 * @property timeToCompletion time to the end of the answer
 */
class LoadResult(
    val answered: Long,
    val failed: Long,
    val durationSeconds: Double,
    private val timeToFirstChunk: Histogram,
    private val timeToCompletion: Histogram,
) {
    /** One line of figures. */
    fun formatLine(label: String): String =
        "%-10s %8.0f/s  failed %d  first %s  whole %s".format(
            label,
            answered / durationSeconds,
            failed,
            formatPercentiles(timeToFirstChunk),
            formatPercentiles(timeToCompletion),
        )

    private fun formatPercentiles(histogram: Histogram): String =
        "median %.2f ms 99th %.2f ms".format(percentileMillis(histogram, MEDIAN), percentileMillis(histogram, P99))

    private fun percentileMillis(histogram: Histogram, percentile: Double): Double =
        histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private companion object {
        const val MEDIAN = 50.0
        const val P99 = 99.0
        const val MICROS_PER_MILLI = 1e3
    }
}
