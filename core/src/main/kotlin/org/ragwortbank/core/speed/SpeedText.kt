package org.ragwortbank.core.speed

import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.tick.Timestamp
import java.util.Locale

/** What is known of the upstream's speed at [now], for log lines; empty where it has never stated its slowness. */
fun UpstreamRow.describeSpeed(now: Timestamp): String {
    val stated = slowness ?: return ""
    val learned = digest?.millisPerToken?.takeIf { it > 0.0 }?.let { "%.1f ms a token".format(Locale.ROOT, it) }
    val age = (now - stated.reportedAt).inWholeMilliseconds
    return ", speed ${learned ?: "unknown"}, slowness ${stated.factor} $age ms old"
}
