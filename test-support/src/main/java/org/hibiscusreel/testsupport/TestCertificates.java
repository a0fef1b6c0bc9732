package org.hibiscusreel.testsupport;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;

/**
 * Self-signed certificate for 127.0.0.1 that the JDK's keytool creates for one test.
 *
 * @param certificate PEM file of the certificate
 * @param key PEM file of the key
 */
public record TestCertificates(Path certificate, Path key) {

  private static final String PASSWORD = "changeit";

  /**
   * Creates a certificate in a directory.
   *
   * @param directory receives the files
   * @param name name of the certificate and of the files
   * @return the certificate
   * @throws IOException if keytool fails
   * @throws InterruptedException if interrupted
   * @throws GeneralSecurityException if the key can't be read
   */
  public static TestCertificates create(Path directory, String name)
      throws IOException, InterruptedException, GeneralSecurityException {
    Path store = directory.resolve(name + ".p12");
    Process keytool =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
                "-genkeypair",
                "-alias",
                name,
                "-keyalg",
                "EC",
                "-dname",
                "CN=" + name,
                "-ext",
                "san=ip:127.0.0.1",
                "-ext",
                "bc=ca:true",
                "-keystore",
                store.toString(),
                "-storepass",
                PASSWORD)
            .redirectErrorStream(true)
            .start();
    keytool.getInputStream().readAllBytes();
    if (keytool.waitFor() != 0) {
      throw new IOException("keytool failed");
    }
    KeyStore k = KeyStore.getInstance("PKCS12");
    try (InputStream in = Files.newInputStream(store)) {
      k.load(in, PASSWORD.toCharArray());
    }
    Path certificate = directory.resolve(name + ".pem");
    Path key = directory.resolve(name + ".key");
    Files.writeString(certificate, pem("CERTIFICATE", k.getCertificate(name).getEncoded()));
    byte[] der = k.getKey(name, PASSWORD.toCharArray()).getEncoded();
    Files.writeString(key, pem("PRIVATE KEY", der));
    return new TestCertificates(certificate, key);
  }

  private static String pem(String type, byte[] der) {
    String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(der);
    return "-----BEGIN " + type + "-----\n" + body + "\n-----END " + type + "-----\n";
  }
}
