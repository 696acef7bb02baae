package org.ragwortbank.standins.load

import org.HdrHistogram.Histogram

/**
 * What a load run measured, times in microseconds.
 *
 * @property first time to the first piece of the answer
 * @property whole time to the end of the answer
 */
class LoadResult(
    val answered: Long,
    val failed: Long,
    val seconds: Double,
    private val first: Histogram,
    private val whole: Histogram,
) {
    /** One line of figures. */
    fun line(label: String): String =
        "%-10s %8.0f/s  failed %d  first %s  whole %s".format(label, answered / seconds, failed, of(first), of(whole))

    private fun of(histogram: Histogram): String =
        "median %.2f ms 99th %.2f ms".format(millis(histogram, MEDIAN), millis(histogram, HIGH))

    private fun millis(histogram: Histogram, percentile: Double): Double =
        histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private companion object {
        const val MEDIAN = 50.0
        const val HIGH = 99.0
        const val MICROS_PER_MILLI = 1e3
    }
}
