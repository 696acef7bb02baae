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

/** Resources that entries and sidecars share: threads, clients of the platform, metrics and shutdown. */
internal class NodeRuntime(name: String, settings: PlatformSettings) {
    private val failureLogger = CoroutineExceptionHandler { _, cause ->
        Logs.platform.error("unexpected exception in background work", cause)
    }
    private val terminated = CountDownLatch(1)

    /** Event loops for HTTP servers and clients. */
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(HTTP_THREADS, NioIoHandler.newFactory())

    /** Scope of background coroutines; a failure of one is logged and does not cancel the others. */
    val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default + failureLogger)

    /** Selector for the sockets between processes. */
    val selector: SelectorManager = SelectorManager(Dispatchers.IO)

    /** HTTP client for the platform and the upstream. */
    val httpClient: HttpClient = HttpClient(group, settings.connectTimeout)

    /** Client of the platform's key-value service. */
    val keyValueStore: EtcdKeyValueStore = EtcdKeyValueStore(httpClient, settings.keyValueAddress, settings.callTimeout)

    val metrics: NodeMetrics = NodeMetrics()

    /** Distinguishes this process from earlier and later ones with the same name. */
    val incarnation: Incarnation = Incarnation("$name.${randomSuffix()}")

    /** Repeats [action], waiting [interval] between the end of one execution and the start of the next. */
    fun repeatWithDelay(interval: Duration, action: suspend () -> Unit) = scope.launch {
        while (true) {
            action()
            delay(interval)
        }
    }

    /** Blocks until [shutDown] is called. */
    fun awaitTermination() = terminated.await()

    /** Cancels background work, closes sockets and stops the HTTP threads. */
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
