package org.ragwortbank.standins.load

import org.ragwortbank.standins.fleet.ChildProcess
import kotlin.jvm.optionals.getOrNull
import kotlin.time.Duration
import kotlin.time.toKotlinDuration

/** CPU time that the process [child] has used so far; zero when the operating system does not report it. */
internal fun cpuTime(child: ChildProcess): Duration {
    val total = ProcessHandle.of(child.pid).getOrNull()?.info()?.totalCpuDuration()?.getOrNull()
    return total?.toKotlinDuration() ?: Duration.ZERO
}
