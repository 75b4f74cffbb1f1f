#ifndef BULRUSH_REVIEW_STAND_IN_HPP
#define BULRUSH_REVIEW_STAND_IN_HPP

/// Stand-ins for the platform, its servers, consumers and operator, shared by
/// the scripts of the review. Blocking sockets on loopback, one thread each.

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Seconds since the start of this process.
double Elapsed();
void SleepFor(double aSeconds);
void SleepUntil(double aAt);

/// Appends a line with the time to record.txt.
void Record(const std::string& aLine);
void OpenRecord(const std::string& aPath);

struct address
{
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

struct http_answer
{
  int status = 0; ///< zero: none
  std::map<std::string, std::string> fields;
  std::string body;
  bool isWhole = false;
};

/// One call on a channel of its own, closed after the answer or the timeout.
http_answer Call(const address& aTo,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::map<std::string, std::string>& aFields,
                 const std::string& aBody,
                 double aTimeout);

/// A machine of the system with its one process.
struct machine
{
  std::string name;
  std::string zone;
  std::string ip;
  bool isControl = false;
  std::string settings; ///< path
  int pid = 0;
};

/// The machines of one small deployment: one control process and aFronts entry
/// processes in each of three zones.
class deployment
{
public:
  deployment(std::string aFolder, int aFronts);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  void Start(machine& aMachine, bool aIsFirst);
  void Signal(const machine& aMachine, int aSignal) const;
  /// SIGKILL, and waits for the end of the process.
  void Kill(machine& aMachine);
  bool IsRunning(machine& aMachine);
  void StartAll();

  address ControlOf(const machine& aMachine) const;
  address FrontOf(const machine& aMachine) const;
  address ReadyOf(const machine& aMachine) const;
  /// Position of the control process that leads, by the logs; for the choice of
  /// the process to disturb, as the bench chooses with `how`.
  std::size_t Leader() const;
  std::string FreeIp();
  int ServerPort() const { return mPorts[4]; }

  std::vector<machine> controls;
  std::vector<machine> fronts;

private:
  std::string Render(const machine& aMachine, bool aIsFirst) const;

  std::string mFolder;
  std::string mNet;
  int mNextHost = 10;
  std::vector<int> mPorts;
};

/// Zones of the deployment.
inline const std::vector<std::string> kZones{ "zone-a", "zone-b", "zone-c" };

struct arrival
{
  double at = 0;
  std::string attempt;
  std::string path;
};

/// A request as a server reads it; names of fields are in lower case.
struct request
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& aName) const;
};

/// A server of a plain service: announces itself, answers after a work time.
class server
{
public:
  server(deployment& aDeployment, std::string aId, std::string aZone);
  virtual ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// The body of a check-in, with the next number of the sequence.
  std::string NextCheckIn(const std::string& aState);
  /// Sends it to the first control process from aFirst on that confirms it.
  bool CheckIn(const std::string& aBody, std::size_t aFirst);
  /// Checks in every 1.2 s until StopCheckIns.
  void StartCheckIns(std::size_t aFirst);
  void StopCheckIns();
  std::vector<arrival> Arrivals() const;
  const std::string& Id() const { return mId; }
  const std::string& Zone() const { return mZone; }

  std::atomic<int> workMs{ 15 };
  /// The process ends: it resets its channels and takes no new ones.
  void Crash();

protected:
  /// Ends check-ins, connections and threads; called by destructors.
  void Stop();
  /// Service and slots in check-ins, and further fields with a leading comma.
  virtual std::string Service() const { return "desk"; }
  virtual std::string Description() const { return ""; }
  /// Answers on aSocket; false closes the channel.
  virtual bool Handle(int aSocket, const request& aRequest);
  bool Send(int aSocket,
            int aStatus,
            const std::string& aFields,
            const std::string& aBody) const;
  bool SendRaw(int aSocket, const std::string& aBytes) const;
  void AddArrival(const request& aRequest);
  long long Born() const { return mBorn; }
  bool IsStopping() const { return mIsStopping; }

private:
  void Accept();
  void Serve(int aSocket);

  deployment& mDeployment;
  std::string mId;
  std::string mZone;
  address mAddress;
  long long mBorn = 0;
  std::mutex mNumbering;
  std::atomic<int> mSequence{ 0 };
  int mListener = -1;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<bool> mChecksIn{ false };
  std::atomic<int> mRunning{ 0 };
  std::thread mAcceptor;
  std::thread mCheckIns;
  std::vector<std::thread> mWorkers;
  mutable std::mutex mMutex;
  std::vector<arrival> mArrivals;
};

/// A model of an engine, as the configuration declares it.
struct model
{
  std::string name;
  int weightsMb = 0;
  double loadS = 0;
  int adapters = 0;
};

inline constexpr int kWeightsMb = 200'000;
inline constexpr int kAdapterMb = 12;

/// A model server: holds models, carries out orders one at a time, streams.
class engine : public server
{
public:
  engine(deployment& aDeployment,
         std::string aId,
         std::string aZone,
         std::vector<model> aKnown,
         std::vector<std::string> aHeld);
  ~engine() override;

  /// It was ordered to load more than its memory holds.
  bool HasOverflowed() const { return mHasOverflowed; }
  bool IsBusy() const;
  bool Holds(const std::string& aModel) const;
  int BrokenStreams() const { return mBrokenStreams; }
  std::atomic<int> events{ 20 };

protected:
  std::string Service() const override { return "models"; }
  std::string Description() const override;
  bool Handle(int aSocket, const request& aRequest) override;

private:
  std::string Models() const;
  int HeldMb() const;
  int Order(const request& aRequest);
  bool Stream(int aSocket, const request& aRequest);
  void RunJobs();

  std::vector<model> mKnown;
  mutable std::mutex mState;
  std::map<std::string, std::vector<std::string>> mHeld; ///< with adapters
  int mOrders = 0;
  bool mIsBusy = false;
  std::string mJobModel;
  bool mIsJobLoad = false;
  double mJobEnds = 0;
  std::map<std::string, int> mRuns; ///< by model
  std::atomic<bool> mHasOverflowed{ false };
  std::atomic<int> mBrokenStreams{ 0 };
  std::atomic<bool> mEndsJobs{ false };
  std::thread mJobs;
};

/// Consumers of a plain route: one for each entry process, a request every
/// aInterval seconds.
class consumers
{
public:
  /// aIsOnce: of the route whose requests may run once at most.
  consumers(deployment& aDeployment, double aInterval, bool aIsOnce = false);
  ~consumers();
  consumers(const consumers&) = delete;
  consumers& operator=(const consumers&) = delete;

  int Served() const { return mServed; }
  int Failed() const { return mFailed; }
  /// Answered 502 or 504, or not: they may have run, and nobody knows.
  int Lost() const { return mLost; }

private:
  void Run(std::size_t aFront, double aInterval, bool aIsOnce);

  deployment& mDeployment;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mFailed{ 0 };
  std::atomic<int> mLost{ 0 };
  std::vector<std::thread> mThreads;
};

/// A configuration with one plain service and two routes; with models also an
/// engine service and a streaming route.
std::string Configuration(int aVersion, const std::vector<model>& aModels = {});

/// A consumer's request for a stream of a model, or of MODEL/ADAPTER.
http_answer AskModel(deployment& aDeployment,
                     const machine& aFront,
                     const std::string& aModel,
                     const std::string& aId,
                     double aTimeout);

/// An operator's call: tries control processes from aFirst on, each for a
/// second, until one gives a clear answer. Returns the status, or zero after
/// aLimit seconds.
int Operate(deployment& aDeployment,
            const std::string& aPath,
            const std::string& aBody,
            std::size_t aFirst,
            double aLimit);

/// Applies the first configuration and waits until every entry process is
/// ready. False if that takes too long.
bool Prepare(deployment& aDeployment, const std::string& aConfiguration);

/// Exit codes of the scripts.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

} // namespace review

#endif
