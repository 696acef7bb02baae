package org.ragwortbank.node

import io.ktor.network.selector.SelectorManager
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.kv.EtcdKeyValueStore
import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.metrics.NodeMetrics
import org.ragwortbank.node.settings.PlatformSettings
import java.security.SecureRandom
import java.util.HexFormat
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration

/** What every process needs: threads, clients of the platform, metrics and a way to end. */
internal class NodeRuntime(name: String, settings: PlatformSettings) {
    private val failureLogger = CoroutineExceptionHandler { _, cause ->
        Logs.platform.error("unexpected failure", cause)
    }
    private val terminated = CountDownLatch(1)

    /** Threads for HTTP. */
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(HTTP_THREADS, NioIoHandler.newFactory())

    /** Where background work runs. */
    val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default + failureLogger)

    /** Waits for the sockets between processes. */
    val selector: SelectorManager = SelectorManager(Dispatchers.IO)

    /** Client for the platform and the upstream. */
    val httpClient: HttpClient = HttpClient(group, settings.connectTimeout)

    /** The platform's key-value service. */
    val keyValueStore: EtcdKeyValueStore = EtcdKeyValueStore(httpClient, settings.keyValueAddress, settings.callTimeout)

    /** This process's metrics. */
    val metrics: NodeMetrics = NodeMetrics()

    /** Distinguishes this process from others under the same name. */
    val incarnation: Incarnation = Incarnation("$name.${randomSuffix()}")

    /** Repeats [action], with [interval] between the end of one and the begin of the next. */
    fun repeatWithDelay(interval: Duration, action: suspend () -> Unit) = scope.launch {
        while (true) {
            action()
            delay(interval)
        }
    }

    /** Waits until [shutDown] is called. */
    fun awaitTermination() = terminated.await()

    /** Ends all threads. */
    fun shutDown() {
        scope.cancel()
        selector.close()
        group.shutdownGracefully()
        terminated.countDown()
    }

    private fun randomSuffix(): String {
        val bytes = ByteArray(SUFFIX_BYTES)
        SecureRandom().nextBytes(bytes)
        return HexFormat.of().formatHex(bytes)
    }

    private companion object {
        const val HTTP_THREADS = 2
        const val SUFFIX_BYTES = 5
    }
}
