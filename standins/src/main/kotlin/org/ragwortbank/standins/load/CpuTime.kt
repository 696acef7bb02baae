package org.ragwortbank.standins.load

import org.ragwortbank.standins.fleet.ChildProcess
import kotlin.jvm.optionals.getOrNull
import kotlin.time.Duration
import kotlin.time.toKotlinDuration

/** Processor time that [child] has used so far. */
internal fun cpuTime(child: ChildProcess): Duration {
    val used = ProcessHandle.of(child.pid).getOrNull()?.info()?.totalCpuDuration()?.getOrNull()
    return used?.toKotlinDuration() ?: Duration.ZERO
}
