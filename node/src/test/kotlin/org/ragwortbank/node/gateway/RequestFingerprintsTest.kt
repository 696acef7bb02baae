package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.ragwortbank.core.serving.RequestFingerprint
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.node.http.hashApiKey
import kotlin.test.Test
import kotlin.test.assertEquals

/** A fingerprint stands for one request and its repeats. */
class RequestFingerprintsTest {
    private val call = ServingCall("r1", "a", "/slots", hashApiKey("k1"))
    private val request = request(HttpMethod.GET, "/slots?day=1")

    @Test
    fun `given the same request with another id, then it has the same fingerprint`() =
        assertEquals(fingerprintOf(call, request), fingerprintOf(call.copy(id = "r2"), request))

    // Guards against a look-up that crashes upstreams and is cleared of it by answers to others of the same path.
    @Test
    fun `given look-ups of one path with different queries, then their fingerprints differ`() =
        assertAllDiffer(
            listOf("/slots", "/slots?day=1", "/slots?day=13", "/slots?")
                .map { fingerprintOf(call, request(HttpMethod.GET, it)) },
        )

    @Test
    fun `given requests of one target with different methods, then their fingerprints differ`() =
        assertAllDiffer(
            listOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.POST, HttpMethod.DELETE)
                .map { fingerprintOf(call, request(it, "/slots?day=1")) },
        )

    @Test
    fun `given different hosts, keys or bodies, then the fingerprints differ`() =
        assertAllDiffer(
            listOf(
                fingerprintOf(call, request),
                fingerprintOf(call.copy(host = "b"), request),
                fingerprintOf(call.copy(key = hashApiKey("k2")), request),
                fingerprintOf(call, CallerRequest(request.head, "x".encodeToByteArray())),
            ),
        )

    private fun request(method: HttpMethod, target: String) =
        CallerRequest(DefaultHttpRequest(HttpVersion.HTTP_1_1, method, target), ByteArray(0))

    private fun assertAllDiffer(fingerprints: List<RequestFingerprint>) =
        assertEquals(fingerprints.size, fingerprints.distinct().size)
}
